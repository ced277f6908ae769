import type { LeaseTerms } from './LeaseTerms.js'

const SECOND = 1000
const MINUTE = 60 * SECOND

/**
 * Lease terms of allowances, in milliseconds. They are constants and not settings, since the fold
 * depends on them and every daemon must use the same values.
 *
 * @public
 */
export const allowanceTerms: LeaseTerms = {
	lease: 2 * MINUTE,
	floorLease: 60 * MINUTE,
	loanLease: 20 * SECOND,
	deliveryMargin: 10 * SECOND,
	clockRateError: 0.01,
}
