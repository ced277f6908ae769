import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * One team over the whole fleet.
 *
 * @public
 */
export interface TeamStatus {
	readonly team: TeamId
	readonly share: number
	readonly limit: number
	readonly running: number
	readonly queued: number
	/** Part of what runs that its share gives it among the teams that have requests; 0 to 1. */
	readonly sharePart: number
	/** Part of what runs that is its own; 0 to 1. */
	readonly reachedPart: number
	/** Allowance by member, as the log has it. */
	readonly allowances: readonly { readonly instance: InstanceId; readonly units: number }[]
}
