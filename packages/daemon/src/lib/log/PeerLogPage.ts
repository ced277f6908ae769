import type { Snapshot } from '@mastichead/core'
import type { LogRecord } from './LogRecord.js'

/**
 * What an entry instance gives a peer that asks for the log from an offset on: records, or the
 * state when it no longer keeps the records.
 *
 * @public
 */
export type PeerLogPage =
	| { readonly type: 'records'; readonly records: readonly LogRecord[] }
	| { readonly type: 'snapshot'; readonly snapshot: Snapshot }
