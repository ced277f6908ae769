/**
 * Marks an append as made by the owner of one term. The log refuses terms lower than the highest
 * it has seen, and answers a repeated append with its first answer.
 *
 * @public
 */
export interface LogFence {
	readonly term: number
	/** Number of the append within the term, from 0. */
	readonly sequence: number
}
