import type { LogEntry } from './LogEntry.js'

/**
 * Result of reading a page of the newest records of a stream, one record a key. Reading on from the
 * offset `next` of the first page misses no record that was written after it.
 *
 * @public
 */
export type ReadNewestResult =
	| {
			readonly kind: 'entries'
			readonly entries: readonly LogEntry[]
			readonly next: number
			/** Key after which the next page begins; undefined for the last page. */
			readonly lastKey: string | undefined
			/** Size of the answer, if the log measures it. */
			readonly bytes?: number
	  }
	| { readonly kind: 'unavailable'; readonly reason: string }
