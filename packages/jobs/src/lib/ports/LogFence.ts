/**
 * Fencing token of an append by an owner. The log rejects terms lower than the highest it has seen,
 * and answers a repeated sequence number with the first answer.
 *
 * @public
 */
export interface LogFence {
	readonly term: number
	/** Number of the append within the term, from 0. */
	readonly sequence: number
}
