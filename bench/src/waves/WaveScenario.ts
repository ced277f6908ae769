import type { Milliseconds } from '@mastichead/core'

/**
 * Fleet and faults of one wave simulation.
 *
 * @internal
 */
export interface WaveScenario {
	readonly name: string
	readonly zones: number
	readonly pools: number
	readonly servers: number
	/** Largest number of unavailable backend servers per pool. */
	readonly maximumUnavailable: number
	readonly parallelism: number
	readonly drainTime: Milliseconds
	readonly maintenanceTime: Milliseconds
	readonly tickInterval: Milliseconds
	/** Time between kills of the proposer. Another daemon takes over after a delay. */
	readonly killInterval?: Milliseconds | undefined
	/** Time between platform outages. */
	readonly outageInterval?: Milliseconds | undefined
	readonly outageDuration?: Milliseconds | undefined
	/** When a rack fails, and for how long. */
	readonly rackFailsAt?: Milliseconds | undefined
	readonly rackFailureDuration?: Milliseconds | undefined
}
