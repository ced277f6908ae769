/**
 * What the log says in the ledger model.
 *
 * @public
 */
export interface Ledger {
	readonly limit: number
	readonly members: readonly {
		readonly renewedAt: number
		readonly lapsed: boolean
		/** Its `renewedAt` when it last lapsed; null before the first time. */
		readonly lapsedFrom: number | null
		readonly isGone: boolean
		readonly amount: number
		readonly sequence: number
		/** Instant before its newest heartbeat in the log was sent. */
		readonly sentAt: number
	}[]
}
