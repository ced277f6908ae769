/**
 * What the log says about the leases on one backend server.
 *
 * @public
 */
export interface RecordedLease {
	/** Whether owners may have renewed the leases since. */
	readonly renewed: boolean
	/** Monotonic instant by which all leases granted before the record have expired, in milliseconds. */
	readonly expiresBy: number
}
