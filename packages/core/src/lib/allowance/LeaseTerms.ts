import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Durations after which allowance may no longer be used, and after which it may be given anew.
 *
 * @public
 */
export interface LeaseTerms {
	/** Time from a heartbeat in which the whole allowance of a member may be used. */
	readonly lease: Milliseconds
	/** Time from a heartbeat in which the floor of the allowance may be used. */
	readonly floorLease: Milliseconds
	/** Time in which a loan between members may be used. */
	readonly loanLease: Milliseconds
	/** Delay of delivery between a start and the backend server, on top of the longest run. */
	readonly deliveryMargin: Milliseconds
	/** Largest relative difference between the rates of any clock and the platform's. */
	readonly clockRateError: number
}
