import type { LoanModel } from './LoanModel.js'

const common = { advances: 3, deliveries: 5, copies: 2, loans: 1, renewals: 1, starts: 2 }

/**
 * Bounds within which the loan model is searched, by the part of the protocol that they exercise.
 *
 * @internal
 */
export const loanSearches = {
	duplicates: common,
	'two loans': { ...common, copies: 1, loans: 2 },
} satisfies Record<string, ConstructorParameters<typeof LoanModel>[0]>
