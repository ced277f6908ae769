import type { LogEntry } from './LogEntry.js'

/**
 * Result of a read. `expired`: the log no longer has the record at the requested offset.
 *
 * @public
 */
export type ReadResult =
	| { readonly kind: 'entries'; readonly entries: readonly LogEntry[]; readonly next: number }
	| { readonly kind: 'expired' }
	| { readonly kind: 'unavailable'; readonly reason: string }
