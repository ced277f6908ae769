/**
 * Request to renew the leases of all that runs on a backend server and to list its runs.
 *
 * @public
 */
export interface RenewalRequest {
	readonly token: number
	/** Ends up to this number are durable and may be forgotten. */
	readonly acknowledgedThrough: number
	/** End of the leases on the backend server's clock, in milliseconds; undefined renews nothing. */
	readonly leaseEnd: number | undefined
	/** Milliseconds to wait for an end. */
	readonly wait: number
}
