const SECOND = 1000

/**
 * Durations of the ledger and loan models, in milliseconds: those of the product.
 *
 * @internal
 */
export const allowanceTerms = {
	lease: 120 * SECOND,
	floorLease: 3600 * SECOND,
	loanLease: 20 * SECOND,
	deliveryMargin: 10 * SECOND,
	run: 30 * SECOND,
	/** Part of a lease that a holder gives up for the rate of its clock. */
	clockRateError: 0.01,
}
