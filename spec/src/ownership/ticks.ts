/** Durations in ticks. `LeaseTiming` in `packages/jobs` has the real ones in milliseconds. */
export const ticks = {
	/** Duration of a lease. */
	lease: 1,
	/** Time by which a slow clock extends a lease. */
	clockDrift: 1,
	/** Time during which an owner acts without an answer from the log. */
	maximumOwnerSilence: 2,
} as const
