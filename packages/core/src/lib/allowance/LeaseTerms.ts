import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Durations that bound how long allowance may be used, and when it can be granted again.
 *
 * @public
 */
export interface LeaseTerms {
	/** Time after a heartbeat during which a member may use its whole allowance. */
	readonly lease: Milliseconds
	/** Time after a heartbeat during which a member may use the floor of its allowance. */
	readonly floorLease: Milliseconds
	/** Time during which a borrower may start requests on a loan. */
	readonly loanLease: Milliseconds
	/** Longest delay from the start of a request to its arrival at the backend server. */
	readonly deliveryMargin: Milliseconds
	/** Largest relative difference between the rate of any clock and that of the platform clock. */
	readonly clockRateError: number
}
