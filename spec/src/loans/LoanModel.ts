import { allowanceTerms } from '../allowances/allowanceTerms.js'
import { Model } from '../Model.js'
import type { LoanAction } from './LoanAction.js'
import type { LoanMessage } from './LoanMessage.js'
import type { LoanBug } from './LoanBug.js'
import type { LoanState } from './LoanState.js'

/** Time steps in milliseconds: within a loan's lease, and almost a run. */
const ADVANCES = [16_000, 29_000]

interface Bounds {
	/** Time steps. */
	readonly advances: number
	/** Messages delivered, including repeated ones. */
	readonly deliveries: number
	/** Times that each message may be delivered. */
	readonly copies: number
	readonly loans: number
	readonly renewals: number
	/** Runs that both members together may start. */
	readonly starts: number
}

/**
 * A loan of one unit of allowance that is granted, renewed and returned over a network that loses,
 * delays, reorders and duplicates messages.
 *
 * @public
 */
export class LoanModel extends Model<LoanState, LoanAction> {
	override readonly name = 'loans between members'
	override readonly invariants = new Map([['one-run-per-unit', checkAtMostOneRun]])

	constructor(
		private readonly bounds: Bounds,
		private readonly bug?: LoanBug
	) {
		super()
	}

	override createInitial(): LoanState {
		const { advances, deliveries, starts } = this.bounds
		return {
			now: 0,
			remaining: { advances, deliveries, starts },
			inFlight: [],
			lender: { loans: [], returned: [], runs: [] },
			borrower: { loanCount: 0, requested: [], held: [], renewals: 0 },
		}
	}

	override getActions(state: LoanState): LoanAction[] {
		const { remaining, inFlight, borrower, lender } = state
		const actions: LoanAction[] = []
		if (remaining.advances > 0) {
			for (const by of ADVANCES) actions.push({ kind: 'advance', by })
		}
		if (remaining.deliveries > 0) {
			for (const index of inFlight.keys()) actions.push({ kind: 'deliver', index })
		}
		if (borrower.loanCount < this.bounds.loans) actions.push({ kind: 'request' })
		for (const { loan } of borrower.requested) actions.push({ kind: 'abandon', loan })
		for (const { loan, endsAt, runs } of borrower.held) {
			if (borrower.renewals < this.bounds.renewals) actions.push({ kind: 'renew', loan })
			if (runs.length === 0) actions.push({ kind: 'give-back', loan })
			const canStart = remaining.starts > 0 && runs.length === 0 && state.now < endsAt
			if (canStart) actions.push({ kind: 'start-borrower', loan })
		}
		const isFree = getOutstandingLoans(state).length + lender.runs.length === 0
		if (remaining.starts > 0 && isFree) actions.push({ kind: 'start-lender' })
		return actions
	}

	override apply(state: LoanState, action: LoanAction): LoanState {
		const { borrower } = state
		switch (action.kind) {
			case 'advance':
				return advance(state, action.by)
			case 'deliver':
				return this.deliver(state, action.index)
			case 'request': {
				const loan = borrower.loanCount
				const requested = [...borrower.requested, { loan }]
				const next = { ...state, borrower: { ...borrower, loanCount: loan + 1, requested } }
				return this.send(next, { kind: 'request', loan, requestedAt: state.now })
			}
			case 'abandon': {
				const requested = borrower.requested.filter(({ loan }) => loan !== action.loan)
				const next = { ...state, borrower: { ...borrower, requested } }
				return this.send(next, { kind: 'return', loan: action.loan })
			}
			case 'renew': {
				const next = { ...state, borrower: { ...borrower, renewals: borrower.renewals + 1 } }
				return this.send(next, { kind: 'request', loan: action.loan, requestedAt: state.now })
			}
			case 'give-back': {
				const held = borrower.held.filter(({ loan }) => loan !== action.loan)
				const next = { ...state, borrower: { ...borrower, held } }
				return this.send(next, { kind: 'return', loan: action.loan })
			}
			case 'start-borrower':
				return startBorrower(state, action.loan)
			case 'start-lender': {
				const runs = [...state.lender.runs, state.now + allowanceTerms.run]
				return { ...decrementStarts(state), lender: { ...state.lender, runs } }
			}
		}
	}

	private deliver(state: LoanState, index: number): LoanState {
		const sent = state.inFlight[index]
		if (!sent) return state
		const rest = state.inFlight.filter((_, at) => at !== index)
		const repeats = sent.copies > 1 ? [{ ...sent, copies: sent.copies - 1 }] : []
		const remaining = { ...state.remaining, deliveries: state.remaining.deliveries - 1 }
		const next = { ...state, remaining, inFlight: [...rest, ...repeats] }
		switch (sent.message.kind) {
			case 'request':
				return this.lend(next, sent.message.loan, sent.message.requestedAt)
			case 'answer':
				return this.accept(next, sent.message.loan, sent.message.requestedAt)
			case 'return':
				return acceptReturn(next, sent.message.loan)
		}
	}

	private lend(state: LoanState, loan: number, requestedAt: number): LoanState {
		const { lender } = state
		const loans = getOutstandingLoans(state)
		const known = loans.find((row) => row.loan === loan)
		const isFree = loans.length + lender.runs.length === 0
		if (lender.returned.includes(loan) || (!known && !isFree)) return state
		const reclaimedAt = state.now + this.getReclaimDelay()
		const recordedReclaimedAt =
			known && this.bug === 'renewal-not-recorded' ? known.reclaimedAt : reclaimedAt
		const others = loans.filter((row) => row.loan !== loan)
		const isSkipped = this.bug === 'lent-unit-not-subtracted'
		const nextLoans = isSkipped ? others : [...others, { loan, reclaimedAt: recordedReclaimedAt }]
		const next = { ...state, lender: { ...lender, loans: nextLoans } }
		return this.send(next, { kind: 'answer', loan, requestedAt })
	}

	private accept(state: LoanState, loan: number, requestedAt: number): LoanState {
		const { borrower } = state
		const from = this.bug === 'lease-from-answer' ? state.now : requestedAt
		const endsAt = from + allowanceTerms.loanLease * (1 - allowanceTerms.clockRateError)
		const known = borrower.held.find((row) => row.loan === loan)
		if (known) {
			const renewed = { ...known, endsAt: Math.max(known.endsAt, endsAt) }
			const held = borrower.held.map((row) => (row.loan === loan ? renewed : row))
			return { ...state, borrower: { ...borrower, held } }
		}
		const isRequested = borrower.requested.some((row) => row.loan === loan)
		if (!isRequested && this.bug !== 'late-answer-accepted') return state
		const requested = borrower.requested.filter((row) => row.loan !== loan)
		const held = [...borrower.held, { loan, endsAt, runs: [] }]
		return { ...state, borrower: { ...borrower, requested, held } }
	}

	private getReclaimDelay(): number {
		const lease = allowanceTerms.loanLease * (1 + allowanceTerms.clockRateError)
		if (this.bug === 'reclaim-at-lease-end') return lease
		return (
			lease +
			allowanceTerms.run * (1 + allowanceTerms.clockRateError) +
			allowanceTerms.deliveryMargin
		)
	}

	private send(state: LoanState, message: LoanMessage): LoanState {
		return { ...state, inFlight: [...state.inFlight, { message, copies: this.bounds.copies }] }
	}
}

/** Returns the loans that the lender has not reclaimed yet. */
function getOutstandingLoans({ lender, now }: LoanState): LoanState['lender']['loans'] {
	return lender.loans.filter(({ reclaimedAt }) => now < reclaimedAt)
}

function decrementStarts(state: LoanState): LoanState {
	return { ...state, remaining: { ...state.remaining, starts: state.remaining.starts - 1 } }
}

function startBorrower(state: LoanState, loan: number): LoanState {
	const { borrower, now } = state
	const held = borrower.held.map((row) =>
		row.loan === loan ? { ...row, runs: [...row.runs, now + allowanceTerms.run] } : row
	)
	return { ...decrementStarts(state), borrower: { ...borrower, held } }
}

function acceptReturn(state: LoanState, loan: number): LoanState {
	const { lender } = state
	const loans = lender.loans.filter((row) => row.loan !== loan)
	const returned = lender.returned.includes(loan) ? lender.returned : [...lender.returned, loan]
	return { ...state, lender: { ...lender, loans, returned } }
}

function advance(state: LoanState, by: number): LoanState {
	const now = state.now + by
	const isRunning = (end: number) => end > now
	const { lender, borrower } = state
	return {
		...state,
		now,
		remaining: { ...state.remaining, advances: state.remaining.advances - 1 },
		lender: { ...lender, runs: lender.runs.filter(isRunning) },
		borrower: {
			...borrower,
			held: borrower.held.map((row) => ({ ...row, runs: row.runs.filter(isRunning) })),
		},
	}
}

function checkAtMostOneRun({ lender, borrower }: LoanState): string | undefined {
	const borrowed = borrower.held.reduce((sum, { runs }) => sum + runs.length, 0)
	const running = lender.runs.length + borrowed
	return running > 1 ? `${running} runs on one unit` : undefined
}
