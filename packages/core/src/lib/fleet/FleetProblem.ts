/**
 * A validation error in a fleet document.
 *
 * @public
 */
export interface FleetProblem {
	/** Path in the document, such as `queues[2].pool`; empty for the document as a whole. */
	readonly path: string
	readonly message: string
}
