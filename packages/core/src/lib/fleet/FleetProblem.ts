/**
 * What is wrong at one place of a fleet document.
 *
 * @public
 */
export interface FleetProblem {
	/** Place in the document, like `queues[2].pool`; empty for the document as a whole. */
	readonly path: string
	readonly message: string
}
