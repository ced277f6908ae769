/** Milliseconds for which a lease is asked. */
const DURATION = 4_000
/** A backend server's clock may run this much slower than ours. */
const MAXIMUM_CLOCK_DRIFT = 0.02
/** For the way of the last order and the end of what is killed, in milliseconds. */
const EXPIRY_MARGIN = 300
/** Longest lease that a backend server grants, in milliseconds. */
const MAXIMUM_DURATION = 6_000

/**
 * How long what runs on backend servers lives without its owner.
 *
 * @public
 */
export const LeaseTiming = {
	duration: DURATION,

	/**
	 * Milliseconds for which an owner that cannot reach the log keeps the leases of what runs;
	 * after it, another owner may count on their end.
	 */
	maximumOwnerSilence: 5_000,

	/** Instant by which a lease has run out that was asked for at `askedAt`. */
	getLatestExpiry(askedAt: number): number {
		return askedAt + DURATION * (1 + MAXIMUM_CLOCK_DRIFT) + EXPIRY_MARGIN
	},

	/** Instant by which the leases of an earlier owner have run out that was replaced at `now`. */
	getLatestInheritedExpiry(now: number): number {
		return (
			now +
			LeaseTiming.maximumOwnerSilence +
			MAXIMUM_DURATION * (1 + MAXIMUM_CLOCK_DRIFT) +
			EXPIRY_MARGIN
		)
	},
} as const
