import type { Ledger } from './Ledger.js'
import type { LedgerRecord } from './LedgerRecord.js'

/**
 * State of the ledger model. Instants are in milliseconds.
 *
 * @public
 */
export interface LedgerState {
	readonly now: number
	/** Actions of each kind that may still be taken within the bounds of the search. */
	readonly remaining: {
		readonly advances: number
		readonly appends: number
		readonly limitChanges: number
		readonly combinedActions: number
	}
	/** State folded from the whole log. */
	readonly ledger: Ledger
	/** Records that may still be appended, each up to `copies` times. */
	readonly inFlight: readonly { readonly record: LedgerRecord; readonly copies: number }[]
	readonly holders: readonly HolderState[]
}

interface HolderState {
	/** Its row of the ledger as of its last read of the log. */
	readonly observed: Ledger['members'][number]
	/** Instant of its last read under the bug `lease-from-read`; otherwise 0, to add no states. */
	readonly readAt: number
	/** Heartbeats sent. */
	readonly heartbeats: number
	/** Sequence number of its newest allowance record. */
	readonly sequence: number
	/** Releases sent whose outcome it has not read from the log yet. */
	readonly pending: readonly { readonly sequence: number; readonly amount: number }[]
	/** Latest end of each of its runs. */
	readonly runs: readonly number[]
	/** Runs started. */
	readonly starts: number
}
