import type { CallerKey } from '@mastichead/core'

/**
 * Outcome of issuing a key.
 *
 * - `issued`: the key works; it is shown this once
 * - `rejected`: there is no such key
 * - `undecided`: the log did not answer in time; the key was shown to nobody and is of no use
 *
 * @public
 */
export type KeyIssue =
	| { readonly type: 'issued'; readonly key: CallerKey; readonly offset: number }
	| { readonly type: 'rejected'; readonly reason: string }
	| { readonly type: 'undecided'; readonly reason: string }
