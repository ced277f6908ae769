import type { LogRecord } from './LogRecord.js'

/**
 * Outcome of reading the log from an offset.
 *
 * - `records`: those kept from that offset on; none when there is nothing newer
 * - `expired`: the log keeps nothing before `first`, which lies after the offset
 * - `failed`: no answer, or one that cannot be used
 *
 * @public
 */
export type ReadOutcome =
	| { readonly type: 'records'; readonly records: readonly LogRecord[] }
	| { readonly type: 'expired'; readonly first: number }
	| { readonly type: 'failed'; readonly reason: string }
