/**
 * Allowances recorded in the log of the ledger model. Instants are in milliseconds.
 *
 * @public
 */
export interface Ledger {
	readonly limit: number
	readonly members: readonly {
		/** Instant at which its newest heartbeat was appended. */
		readonly renewedAt: number
		/** Whether its lease ran out, leaving only the floor of its allowance. */
		readonly lapsed: boolean
		/** Its `renewedAt` when it last lapsed; null if it never did. */
		readonly lapsedFrom: number | null
		/** Whether it was removed because its floor lease ran out. */
		readonly isGone: boolean
		/** Units granted. */
		readonly amount: number
		/** Sequence number of its newest allowance record. */
		readonly sequence: number
		/** Instant taken just before its newest heartbeat in the log was sent. */
		readonly sentAt: number
	}[]
}
