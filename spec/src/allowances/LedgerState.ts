import type { Ledger } from './Ledger.js'
import type { LedgerRecord } from './LedgerRecord.js'

/**
 * State of the ledger model. Instants are in milliseconds.
 *
 * @public
 */
export interface LedgerState {
	readonly now: number
	/** Actions of each kind that are left. */
	readonly remaining: {
		readonly advances: number
		readonly appends: number
		readonly limitChanges: number
		readonly combinedActions: number
	}
	/** What the log says up to its end. */
	readonly ledger: Ledger
	/** Records that may reach the log, and how often they still may. */
	readonly inFlight: readonly { readonly record: LedgerRecord; readonly copies: number }[]
	readonly holders: readonly HolderState[]
}

interface HolderState {
	/** Its row of the ledger when it last read the log. */
	readonly observed: Ledger['members'][number]
	/** Instant of its last read; kept only for the mistake that needs it. */
	readonly readAt: number
	readonly heartbeats: number
	readonly sequence: number
	/** Releases that it has not seen decided. */
	readonly pending: readonly { readonly sequence: number; readonly amount: number }[]
	/** When its runs end at the latest. */
	readonly runs: readonly number[]
	readonly starts: number
}
