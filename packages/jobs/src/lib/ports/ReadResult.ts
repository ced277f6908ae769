import type { LogEntry } from './LogEntry.js'

/**
 * Outcome of a read. `expired`: the log no longer holds the first record asked for.
 *
 * @public
 */
export type ReadResult =
	| { readonly kind: 'entries'; readonly entries: readonly LogEntry[]; readonly next: number }
	| { readonly kind: 'expired' }
	| { readonly kind: 'unavailable'; readonly reason: string }
