/**
 * Record that an owner writes at intervals.
 *
 * @public
 */
export interface OwnerHeartbeat {
	/** Fencing token of the owner's term. */
	readonly token: number
	/** Whether the owner has recorded its term before; owners of earlier versions do not. */
	readonly isTermRecorded: boolean
}
