import type { ArrivingMachines } from './ArrivingMachines.js'
import type { RemainingWork } from '../work/RemainingWork.js'

/**
 * Capacity of a service's usable backend servers and the work that they already hold, at the time of
 * a plan.
 *
 * @public
 */
export interface ServiceLoad {
	/** Cores that lasting tasks do not use. */
	readonly cores: number
	readonly arrivingMachines: ArrivingMachines
	/** Cores in use by placed tasks, lasting ones excluded. */
	readonly placedCores: number
	/** Remaining work of the placed tasks, in core-milliseconds. */
	readonly placedWork: number
	/** The same by team. */
	readonly placedWorkByTeam: ReadonlyMap<string, number>
	/** Remaining work of the jobs without a ready step, for instance because they wait for placed tasks. */
	readonly blockedJobs: RemainingWork[]
}
