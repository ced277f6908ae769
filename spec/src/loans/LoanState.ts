import type { LoanMessage } from './LoanMessage.js'

/**
 * State of the loan model: one unit that the lender holds. Instants are in milliseconds.
 *
 * @public
 */
export interface LoanState {
	readonly now: number
	readonly remaining: {
		readonly advances: number
		readonly deliveries: number
		readonly starts: number
	}
	readonly inFlight: readonly { readonly message: LoanMessage; readonly copies: number }[]
	readonly lender: {
		/** Loans that are out, with the instant from which nothing on them can still run. */
		readonly loans: readonly { readonly loan: number; readonly reclaimedAt: number }[]
		readonly settled: readonly number[]
		readonly runs: readonly number[]
	}
	readonly borrower: {
		readonly loanCount: number
		/** New loans that it asked for and has no answer to. */
		readonly requested: readonly { readonly loan: number }[]
		readonly held: readonly {
			readonly loan: number
			readonly endsAt: number
			readonly runs: readonly number[]
		}[]
		readonly renewals: number
	}
}
