import type { InstanceId } from '../ids/InstanceId.js'

/**
 * The parts of a request id.
 *
 * @public
 */
export interface RequestIdParts {
	/** Incarnation that issued the id. */
	readonly issuer: InstanceId
	/** Number of the id within the incarnation, from 1; 0 for ids without a record. */
	readonly sequence: number
	/** Random hex digits that make the id hard to guess. */
	readonly random: string
}
