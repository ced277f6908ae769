import type { LogEntry } from './LogEntry.js'

/**
 * Result of a read, which may hold only the first records from the requested offset on. `expired`: the
 * log no longer has the record at the requested offset.
 *
 * @public
 */
export type ReadResult =
	| {
			readonly kind: 'entries'
			readonly entries: readonly LogEntry[]
			/** Offset after the last record of the result. */
			readonly next: number
			/** End offset of the stream at the time of the answer. */
			readonly end: number
			/** Size of the answer, if the log measures it. */
			readonly bytes?: number
	  }
	| { readonly kind: 'expired' }
	| { readonly kind: 'unavailable'; readonly reason: string }
