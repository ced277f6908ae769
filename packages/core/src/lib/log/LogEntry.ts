import type { Milliseconds } from '../time/Milliseconds.js'
import type { Proposal } from './Proposal.js'

/**
 * A record as the platform's log returns it.
 *
 * @public
 */
export interface LogEntry {
	/** Position in the log; offsets grow by one. */
	readonly offset: number
	/** Platform clock at the append, in milliseconds; never falls from one offset to the next. */
	readonly at: Milliseconds
	readonly proposal: Proposal
}
