import type { PoolMachine } from './PoolMachine.js'

/**
 * A service's pool at one instant.
 *
 * @public
 */
export interface PoolState {
	readonly service: string
	/** Machines in it are off and cost nothing. */
	readonly spare: boolean
	/** Cores of one machine. */
	readonly machineCores: number
	readonly machines: readonly PoolMachine[]
	/** Machines that are on their way into it. */
	readonly arrivingMachines: number
	/** Cores that arriving work keeps busy. */
	readonly demandCores: number
	/** Cores in use by tasks that end by themselves, of jobs that can be in time. */
	readonly usedCores: number
	/** Cores of tasks that could run now and have no place, of jobs that can be in time. */
	readonly pendingCores: number
	/** Cores of tasks that run or have no place, of jobs that cannot be in time any more. */
	readonly lateCores: number
	/** Cores in use by lasting tasks. */
	readonly lastingCores: number
	/** Fewest machines on which the lasting tasks can be spread as they ask. */
	readonly minimumLastingMachines: number
}
