/** Bounds of a search. */
export interface LeaseBounds {
	/** Ticks that a lease lasts from the sending of its order. */
	readonly lease: number
	/** Ticks for which an owner sends orders without an answer from the log. */
	readonly maximumOwnerSilence: number
	readonly instances: number
	/** Maximum number of terms of owners, the first one included. */
	readonly terms: number
	/** Maximum number of processes that are killed and replaced by a new one on the same instance. */
	readonly restarts: number
	/** Maximum number of records that leases are not renewed, of all owners together. */
	readonly lostRecords: number
	/** Maximum number of records that a term has ended. */
	readonly ends: number
	/** Whether owners learn late that a record is durable, rather than when it is written. */
	readonly hasLateAcknowledgements: boolean
	/** Whether processes read the log late, rather than when it is written. */
	readonly hasLateReads: boolean
}
