import type { LogRecord } from './LogRecord.js'

/**
 * Outcome of reading the log from an offset.
 *
 * - `records`: the records from that offset on; empty if there are none yet
 * - `expired`: the record at that offset has expired; `first` is the first offset still in the log
 * - `failed`: no response, or one that is invalid
 *
 * @public
 */
export type ReadOutcome =
	| { readonly type: 'records'; readonly records: readonly LogRecord[] }
	| { readonly type: 'expired'; readonly firstOffset: number }
	| { readonly type: 'failed'; readonly reason: string }
