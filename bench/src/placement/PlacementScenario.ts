import type { Milliseconds } from '@mastichead/core'

/**
 * Demand and faults of one placement simulation.
 *
 * @internal
 */
export interface PlacementScenario {
	readonly name: string
	/** Mean demand as a fraction of the capacity of the working backend servers. */
	readonly load: number
	/** Peak rate divided by the mean rate; 1 for steady demand. */
	readonly peakFactor: number
	/** Relative arrival rate of each entry instance. */
	readonly weights: readonly number[]
	/** Number of backend servers that fail every request from `failAt` on. */
	readonly failingServers: number
	readonly failAt: Milliseconds
	readonly duration: Milliseconds
	readonly meanServiceTime: Milliseconds
}
