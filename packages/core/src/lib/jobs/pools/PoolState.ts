import type { PoolMachine } from './PoolMachine.js'

/**
 * Machines, demand and usage of a service's pool at one point in time.
 *
 * @public
 */
export interface PoolState {
	readonly service: string
	/** Whether its machines are turned off and cost nothing. */
	readonly spare: boolean
	/** Number of cores of one machine. */
	readonly machineCores: number
	/** Machines whose servers can take work, or are expected to within a moment. */
	readonly machines: readonly PoolMachine[]
	/** Number of machines whose servers can take work at this moment. */
	readonly usableMachines: number
	/** Number of machines that are moving into the pool. */
	readonly arrivingMachines: number
	/** Time from the order for a machine until it can run tasks, in milliseconds; 0 until known. */
	readonly arrivalTime: number
	/** Cores that newly arriving work keeps busy. */
	readonly demandCores: number
	/** Cores in use by tasks of jobs that can finish on time, lasting tasks excluded. */
	readonly usedCores: number
	/** Cores needed by unplaced tasks of jobs that can finish on time. */
	readonly pendingCores: number
	/** Cores used or needed by tasks of jobs that can no longer finish on time. */
	readonly lateCores: number
	/** Cores in use by lasting tasks. */
	readonly lastingCores: number
	/** Minimum machines that satisfy the `maximumPerBackend` of every lasting step. */
	readonly minimumLastingMachines: number
	/** Machines beyond the usable ones that unplaced lasting tasks need, which none of those will take. */
	readonly missingLastingMachines: number
}
