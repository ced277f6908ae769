import type { Milliseconds } from '@mastichead/core'

/**
 * A record of the platform's log as it was appended. Copies from peers are as good.
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
