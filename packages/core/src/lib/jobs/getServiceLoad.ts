import type { ArrivingMachines } from './ArrivingMachines.js'
import type { BackendRow } from './BackendRow.js'
import type { ServiceLoad } from './ServiceLoad.js'
import { getRemainingTaskWork } from './getRemainingTaskWork.js'
import { getReservedResources } from './getReservedResources.js'

const MILLICORES_PER_CORE = 1_000

/**
 * Sums the capacity and the placed work of a service's usable backend servers, without blocked jobs.
 *
 * @public
 */
export function getServiceLoad(
	backends: readonly BackendRow[],
	arrivingMachines: ArrivingMachines
): ServiceLoad {
	let millicores = 0
	let placedMillicores = 0
	let placedWork = 0
	for (const { capacity, tasks } of backends) {
		millicores += capacity.cpu
		for (const task of tasks.values()) {
			const { cpu } = getReservedResources(task.step)
			if (task.step.lasting) millicores -= cpu
			else placedMillicores += cpu
			placedWork += getRemainingTaskWork(task)
		}
	}
	return {
		cores: Math.max(0, millicores) / MILLICORES_PER_CORE,
		arrivingMachines,
		placedCores: placedMillicores / MILLICORES_PER_CORE,
		placedWork,
		blockedJobs: [],
	}
}
