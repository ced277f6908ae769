import type { LogEntry } from './LogEntry.js'

/**
 * Result of a read. `expired`: the log no longer has the record at the requested offset.
 *
 * @public
 */
export type ReadResult =
	| {
			readonly kind: 'entries'
			readonly entries: readonly LogEntry[]
			readonly next: number
			/** End offset of the stream at the time of the answer, if the log tells it. */
			readonly end?: number
			/** Size of the answer, if the log measures it. */
			readonly bytes?: number
	  }
	| { readonly kind: 'expired' }
	| { readonly kind: 'unavailable'; readonly reason: string }
