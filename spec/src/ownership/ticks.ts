/** The product's times in ticks; `LeaseTerms` has them in milliseconds. */
export const ticks = {
	/** For which a lease is asked. */
	lease: 1,
	/** By which a slow clock prolongs a lease. */
	clockDrift: 1,
	/** For which an owner acts without an answer of the log. */
	maximumOwnerSilence: 2,
} as const
