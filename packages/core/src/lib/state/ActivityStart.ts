import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * The log entry at which an activity of a backend server began.
 *
 * @public
 */
export interface ActivityStart {
	readonly offset: number
	/** Platform clock of that entry, in milliseconds. */
	readonly at: Milliseconds
}
