import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Longest run that a fleet document allowed while it was in force.
 *
 * @public
 */
export interface RunBound {
	readonly runMilliseconds: Milliseconds
	/** Platform clock when a later document replaced it; absent while in force. */
	readonly replacedAt?: Milliseconds | undefined
}
