import type { LogRecord } from './LogRecord.js'

/**
 * A record as read from a stream.
 *
 * @public
 */
export interface LogEntry extends LogRecord {
	/** Position in the stream, from 0. */
	readonly offset: number
}
