import type { Milliseconds } from '@mastichead/core'

/**
 * Demand and faults of one placement run.
 *
 * @internal
 */
export interface PlacementScenario {
	readonly name: string
	/** Mean demand over the capacity of the backend servers that work. */
	readonly load: number
	/** Peak rate over the mean rate; 1 for steady demand. */
	readonly peakFactor: number
	/** Weight of each entry instance in the arrivals. */
	readonly weights: readonly number[]
	/** Backend servers that fail everything at once from `failAt` on. */
	readonly failingServers: number
	readonly failAt: Milliseconds
	readonly duration: Milliseconds
	readonly meanServiceTime: Milliseconds
}
