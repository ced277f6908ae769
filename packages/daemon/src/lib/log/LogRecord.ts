import type { Milliseconds } from '@mastichead/core'

/**
 * A record of the platform's log, as it was appended. Peers keep identical copies.
 *
 * @public
 */
export interface LogRecord {
	readonly offset: number
	/** Platform clock at the append, in milliseconds. */
	readonly at: Milliseconds
	/** JSON of a proposal. */
	readonly record: string
}
