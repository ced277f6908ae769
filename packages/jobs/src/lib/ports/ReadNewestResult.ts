import type { LogEntry } from './LogEntry.js'

/**
 * Result of reading the newest record of each key. Reading on from offset `next` misses no record.
 *
 * @public
 */
export type ReadNewestResult =
	| {
			readonly kind: 'entries'
			readonly entries: readonly LogEntry[]
			readonly next: number
			/** Size of all answers together, if the log measures it. */
			readonly bytes?: number
	  }
	| { readonly kind: 'unavailable'; readonly reason: string }
