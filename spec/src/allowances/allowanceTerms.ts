const SECOND = 1000

/**
 * Durations in milliseconds of the ledger and loan models, equal to those of `@mastichead/core`.
 *
 * @internal
 */
export const allowanceTerms = {
	/** Time from a heartbeat during which all units may be used. */
	lease: 120 * SECOND,
	/** Time from a heartbeat during which the floor of the allowance may be used. */
	floorLease: 3600 * SECOND,
	/** Time from a request during which a loan may be used. */
	loanLease: 20 * SECOND,
	/** Longest delay of a start on its way to the backend server. */
	deliveryMargin: 10 * SECOND,
	/** Longest run. */
	run: 30 * SECOND,
	/** Largest relative error of the rate of a clock. */
	clockRateError: 0.01,
}
