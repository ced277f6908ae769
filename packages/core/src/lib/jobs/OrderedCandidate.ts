import type { OrderCandidate } from './OrderCandidate.js'

/**
 * A step in its turn.
 *
 * @public
 */
export interface OrderedCandidate extends OrderCandidate {
	/** Its job cannot be in time any more, even if all of it ran at once. */
	readonly hopeless: boolean
}
