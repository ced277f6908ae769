import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Longest run of a request that a fleet document allows.
 *
 * @public
 */
export interface RunBound {
	readonly runMilliseconds: Milliseconds
	/** Platform clock at which a later document replaced it; absent for the current document. */
	readonly replacedAt?: Milliseconds | undefined
}
