/** Duration of the leases that the owner requests, in milliseconds. */
const DURATION = 4_000
/** Fraction by which a backend server's clock may run slower than the owner's. */
const MAXIMUM_CLOCK_DRIFT = 0.02
/** Time for the last order to arrive and for a run to be killed after its lease, in milliseconds. */
const EXPIRY_MARGIN = 300
/** Longest lease that an owner may have requested, its view of the clocks included, in milliseconds. */
const MAXIMUM_DURATION = 6_000
/** Longest lease that any backend server grants, in milliseconds. */
const LONGEST_GRANT = 10_000

/**
 * Durations and expiry times of the leases on runs, all in milliseconds.
 *
 * @public
 */
export const LeaseTiming = {
	/** Duration of the leases that the owner requests. */
	duration: DURATION,

	/**
	 * How long an owner that cannot reach the log may renew leases. After this time another owner may
	 * rely on them to expire.
	 */
	maximumOwnerSilence: 5_000,

	/** Returns the time by which a lease requested at `requestedAt` has expired. */
	getLatestExpiry(requestedAt: number): number {
		return requestedAt + DURATION * (1 + MAXIMUM_CLOCK_DRIFT) + EXPIRY_MARGIN
	},

	/** Returns the time by which a lease of unknown length, granted before `now`, has expired. */
	getLatestGrantedExpiry(now: number): number {
		return now + LONGEST_GRANT * (1 + MAXIMUM_CLOCK_DRIFT) + EXPIRY_MARGIN
	},

	/** Returns the time by which all leases of an owner that was replaced at `now` have expired. */
	getLatestInheritedExpiry(now: number): number {
		return (
			now +
			LeaseTiming.maximumOwnerSilence +
			MAXIMUM_DURATION * (1 + MAXIMUM_CLOCK_DRIFT) +
			EXPIRY_MARGIN
		)
	},
} as const
