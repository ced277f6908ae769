/**
 * Request to renew the leases of all runs on a backend server and to list them.
 *
 * @public
 */
export interface RenewalRequest {
	/** Fencing token of the owner. */
	readonly token: number
	/** Ends up to this number are durable, so the server may forget them. */
	readonly acknowledgedThrough: number
	/** End of the leases on the server's clock, in milliseconds; undefined to renew no lease. */
	readonly leaseEnd: number | undefined
	/** Milliseconds for which the server waits for a run to end before it answers. */
	readonly wait: number
}
