import type { LoanMessage } from './LoanMessage.js'

/**
 * State of the loan model, in which the lender has one unit. Instants are in milliseconds.
 *
 * @public
 */
export interface LoanState {
	readonly now: number
	/** Actions of each kind that may still be taken within the bounds of the search. */
	readonly remaining: {
		readonly advances: number
		readonly deliveries: number
		readonly starts: number
	}
	/** Messages that may still be delivered, each up to `copies` times. */
	readonly inFlight: readonly { readonly message: LoanMessage; readonly copies: number }[]
	readonly lender: {
		/** Loans granted, with the instant from which no run on them can still be alive. */
		readonly loans: readonly { readonly loan: number; readonly reclaimedAt: number }[]
		/** Loans whose return has arrived. They are not granted again. */
		readonly returned: readonly number[]
		/** Latest end of each of its runs. */
		readonly runs: readonly number[]
	}
	readonly borrower: {
		/** New loans requested so far. */
		readonly loanCount: number
		/** New loans whose request has no answer yet. */
		readonly requested: readonly { readonly loan: number }[]
		/** Loans granted to it, with the end of their lease and the latest end of each run. */
		readonly held: readonly {
			readonly loan: number
			readonly endsAt: number
			readonly runs: readonly number[]
		}[]
		/** Renewals requested so far. */
		readonly renewals: number
	}
}
