/** Milliseconds for which a lease is asked. */
const LENGTH = 4_000
/** A backend server's clock may run this much slower than ours. */
const CLOCK_ERROR = 0.02
/** For the way of the last order and the end of what is killed, in milliseconds. */
const MARGIN = 300
/** Longest lease that a backend server grants, in milliseconds. */
const MAXIMUM_LENGTH = 6_000

/**
 * How long what runs on backend servers lives without its owner.
 *
 * @public
 */
export const LeaseTerms = {
	length: LENGTH,

	/**
	 * Milliseconds for which an owner that cannot reach the log keeps the leases of what runs;
	 * after it, another owner may count on their end.
	 */
	ownerSilence: 5_000,

	/** Instant by which a lease has run out that was asked for at `askedAt`. */
	getCertainEnd(askedAt: number): number {
		return askedAt + LENGTH * (1 + CLOCK_ERROR) + MARGIN
	},

	/** Instant by which the leases of an earlier owner have run out that was replaced at `now`. */
	getEarlierOwnersEnd(now: number): number {
		return now + LeaseTerms.ownerSilence + MAXIMUM_LENGTH * (1 + CLOCK_ERROR) + MARGIN
	},
} as const
