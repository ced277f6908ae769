import type { InstanceId, WithdrawalReach } from '@mastichead/core'

/**
 * How far a withdrawal came.
 *
 * @public
 */
export interface WithdrawalOutcome {
	readonly reached: WithdrawalReach
	/** Peers that confirmed it. */
	readonly peers: readonly InstanceId[]
}
