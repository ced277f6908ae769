/**
 * Request to renew the leases of all runs on a backend server and to list them.
 *
 * @public
 */
export interface RenewalRequest {
	/** Fencing token of the owner. */
	readonly token: number
	/**
	 * Ends up to the number `through` of one start of the server's process are durable, so the server may
	 * forget them. Another process counts its ends anew: it must not be sent the number, so the client
	 * leaves it out on a connection over which that incarnation has not listed its runs.
	 */
	readonly acknowledged: { readonly incarnation: number; readonly through: number }
	/** End of the leases on the server's clock, in milliseconds; undefined to renew no lease. */
	readonly leaseEnd: number | undefined
	/** Milliseconds for which the server waits for a run to end before it answers. */
	readonly wait: number
}
