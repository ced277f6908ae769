import type { Snapshot } from '@mastichead/core'
import type { LogRecord } from './LogRecord.js'

/**
 * Response of a daemon to a peer that reads its log: records, or a snapshot of the state if the
 * records are no longer kept.
 *
 * @public
 */
export type PeerLogPage =
	| { readonly type: 'records'; readonly records: readonly LogRecord[] }
	| { readonly type: 'snapshot'; readonly snapshot: Snapshot }
