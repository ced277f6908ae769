import type { Milliseconds } from '@mastichead/core'

/**
 * Fleet and faults under which a wave rolls out.
 *
 * @internal
 */
export interface WaveScenario {
	readonly name: string
	readonly zones: number
	readonly pools: number
	readonly servers: number
	/** Backend servers of a pool that may be out at once. */
	readonly maximumUnavailable: number
	readonly parallelism: number
	readonly drainTime: Milliseconds
	readonly maintenanceTime: Milliseconds
	readonly tickInterval: Milliseconds
	/** Time between kills of the proposer; another goes on once it is missed. */
	readonly killInterval?: Milliseconds | undefined
	/** Time between platform outages. */
	readonly outageInterval?: Milliseconds | undefined
	readonly outageDuration?: Milliseconds | undefined
	/** When a rack dies, and for how long. */
	readonly rackFailsAt?: Milliseconds | undefined
	readonly rackFailureDuration?: Milliseconds | undefined
}
