/** Duration of the leases that the owner requests, in milliseconds. */
const DURATION = 4_000
/** Fraction by which one clock may run slower than another. */
const MAXIMUM_CLOCK_DRIFT = 0.02
/** Time for the last order to arrive and for a run to be killed after its lease, in milliseconds. */
const EXPIRY_MARGIN = 300
/**
 * Longest lease that a start order on the clock of a server's earlier process is expected to get, in
 * milliseconds.
 */
const RESTARTED_GRANT = 6_000
/** Longest lease that any backend server grants, in milliseconds. */
const LONGEST_GRANT = 10_000
/** Longest time since a server's clock was read for which a lease is shortened, in milliseconds. */
const MAXIMUM_CLOCK_AGE = 100_000
/** How long an owner that the log does not answer may renew leases, in milliseconds. */
const MAXIMUM_OWNER_SILENCE = 5_000

/**
 * Durations and expiry times of the leases on runs, all in milliseconds.
 *
 * @public
 */
export const LeaseTiming = {
	/**
	 * How long an owner that the log does not answer may renew leases, on its own clock. After this time
	 * another owner may rely on them to expire.
	 */
	maximumOwnerSilence: MAXIMUM_OWNER_SILENCE,

	/**
	 * Returns the end of a lease on the backend server's clock, so that it lasts no longer than the
	 * owner expects even if that clock has run slow since it was read.
	 *
	 * @param clockOffset - the server's clock minus the owner's when it was read
	 * @param readAt - monotonic instant at which it was read
	 */
	getLeaseEnd(now: number, clockOffset: number, readAt: number): number {
		const clockAge = Math.min(Math.max(0, now - readAt), MAXIMUM_CLOCK_AGE)
		return now + clockOffset + DURATION - clockAge * MAXIMUM_CLOCK_DRIFT
	},

	/** Returns the time by which a lease requested at `requestedAt` has expired. */
	getLatestExpiry(requestedAt: number): number {
		return requestedAt + DURATION * (1 + MAXIMUM_CLOCK_DRIFT) + EXPIRY_MARGIN
	},

	/**
	 * Returns the time by which the lease of a start order has expired that was sent at `sentAt`, maybe on
	 * the clock of an earlier process of the server.
	 */
	getLatestStartExpiry(sentAt: number): number {
		return sentAt + RESTARTED_GRANT * (1 + MAXIMUM_CLOCK_DRIFT) + EXPIRY_MARGIN
	},

	/** Returns the time by which a lease of unknown length, granted before `now`, has expired. */
	getLatestGrantedExpiry(now: number): number {
		return now + LONGEST_GRANT * (1 + MAXIMUM_CLOCK_DRIFT) + EXPIRY_MARGIN
	},

	/**
	 * Returns the time by which an owner has stopped renewing leases that had contact with the log at
	 * `contactAt` or before, on the clock of another instance.
	 */
	getLatestOrder(contactAt: number): number {
		return contactAt + MAXIMUM_OWNER_SILENCE * (1 + MAXIMUM_CLOCK_DRIFT)
	},

	/** Returns the time by which something has passed that another instance's clock measured. */
	getLatestArrival(now: number, remaining: number): number {
		return now + remaining * (1 + MAXIMUM_CLOCK_DRIFT)
	},
} as const
