import type { LogEntry } from './LogEntry.js'

/**
 * Outcome of reading the newest record of each key. `next` is the offset from which reading on
 * misses nothing.
 *
 * @public
 */
export type ReadNewestResult =
	| { readonly kind: 'entries'; readonly entries: readonly LogEntry[]; readonly next: number }
	| { readonly kind: 'unavailable'; readonly reason: string }
