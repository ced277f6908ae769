import type { ArrivingMachines } from './ArrivingMachines.js'
import type { BackendRow } from '../BackendRow.js'
import type { ServiceLoad } from './ServiceLoad.js'
import type { RunTimes } from '../lookahead/RunTimes.js'
import { getRemainingTaskWork } from '../work/getRemainingTaskWork.js'
import { getReservedResources } from '../placement/getReservedResources.js'

const MILLICORES_PER_CORE = 1_000

/**
 * Sums the capacity and the placed work of a service's usable backend servers, without blocked jobs.
 *
 * @public
 */
export function getServiceLoad(
	backends: readonly BackendRow[],
	arrivingMachines: ArrivingMachines,
	runTimes?: RunTimes
): ServiceLoad {
	let millicores = 0
	let placedMillicores = 0
	let placedWork = 0
	const placedWorkByTeam = new Map<string, number>()
	for (const { capacity, tasks } of backends) {
		millicores += capacity.cpu
		for (const task of tasks.values()) {
			const { cpu } = getReservedResources(task.step)
			if (task.step.lasting) millicores -= cpu
			else placedMillicores += cpu
			const work = getRemainingTaskWork(task, runTimes)
			const { team } = task.job.job
			placedWork += work
			placedWorkByTeam.set(team, (placedWorkByTeam.get(team) ?? 0) + work)
		}
	}
	return {
		cores: Math.max(0, millicores) / MILLICORES_PER_CORE,
		arrivingMachines,
		placedCores: placedMillicores / MILLICORES_PER_CORE,
		placedWork,
		placedWorkByTeam,
		blockedJobs: [],
	}
}
