import type { LeaseTerms } from './LeaseTerms.js'

const SECOND = 1000
const MINUTE = 60 * SECOND

/**
 * Terms in force. The fold judges by them, so they are the same on every daemon and are no setting.
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
