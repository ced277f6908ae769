import type { Milliseconds } from '../time/Milliseconds.js'
import type { Proposal } from './Proposal.js'

/**
 * A record of the platform's log, with its position and time.
 *
 * @public
 */
export interface LogEntry {
	/** Position in the log; offsets increase by one. */
	readonly offset: number
	/** Platform clock at the append, in milliseconds; never decreases from one offset to the next. */
	readonly at: Milliseconds
	readonly proposal: Proposal
}
