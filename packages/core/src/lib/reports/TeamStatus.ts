import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Status of one team, summed over the fleet.
 *
 * @public
 */
export interface TeamStatus {
	readonly team: TeamId
	readonly share: number
	readonly limit: number
	readonly running: number
	readonly queued: number
	/** Fraction of the running requests that its share entitles it to now; 0 to 1. */
	readonly sharePart: number
	/** Its fraction of all running requests; 0 to 1. */
	readonly reachedPart: number
	/** Allowance of each member according to the log. */
	readonly allowances: readonly { readonly instance: InstanceId; readonly units: number }[]
}
