/**
 * What an owner records about the leases on one backend server. Without a record they may be renewed at
 * any time.
 *
 * @public
 */
export interface LeaseRecord {
	/** Whether owners may renew the leases; if not, a later record comes before the next renewal. */
	readonly renewed: boolean
	/**
	 * Milliseconds from when the record was written in which all leases granted before have expired.
	 */
	readonly remaining: number
}
