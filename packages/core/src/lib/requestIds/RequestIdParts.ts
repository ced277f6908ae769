import type { InstanceId } from '../ids/InstanceId.js'

/**
 * What a request id says.
 *
 * @public
 */
export interface RequestIdParts {
	/** Incarnation that issued it. */
	readonly issuer: InstanceId
	/** Position among the ids of the incarnation, from 1; 0 for ids without a record. */
	readonly sequence: number
	/** Random part, so that ids cannot be guessed. */
	readonly random: string
}
