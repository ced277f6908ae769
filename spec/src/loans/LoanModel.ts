import { terms } from '../allowances/terms.js'
import { Model } from '../Model.js'
import type { LoanAction } from './LoanAction.js'
import type { LoanMessage } from './LoanMessage.js'
import type { LoanMistake } from './LoanMistake.js'
import type { LoanState } from './LoanState.js'

/** Steps of time: within a loan's lease, and almost a run. */
const ADVANCES = [16_000, 29_000]

interface Bounds {
	readonly advances: number
	readonly deliveries: number
	readonly copies: number
	readonly loans: number
	readonly renewals: number
	readonly starts: number
}

/**
 * One unit of allowance that is lent, renewed and returned over a network that loses, delays,
 * reorders and doubles messages.
 *
 * @public
 */
export class LoanModel extends Model<LoanState, LoanAction> {
	override readonly name = 'loans between members'
	override readonly invariants = new Map([['one-unit-runs-once', checkRunning]])

	constructor(
		private readonly bounds: Bounds,
		private readonly mistake?: LoanMistake
	) {
		super()
	}

	override createInitial(): LoanState {
		const { advances, deliveries, starts } = this.bounds
		return {
			now: 0,
			left: { advances, deliveries, starts },
			flight: [],
			lender: { loans: [], settled: [], runs: [] },
			borrower: { made: 0, asked: [], held: [], renewals: 0 },
		}
	}

	override getActions(state: LoanState): LoanAction[] {
		const { left, flight, borrower, lender } = state
		const actions: LoanAction[] = []
		if (left.advances > 0) {
			for (const by of ADVANCES) actions.push({ kind: 'advance', by })
		}
		if (left.deliveries > 0) {
			for (const index of flight.keys()) actions.push({ kind: 'deliver', index })
		}
		if (borrower.made < this.bounds.loans) actions.push({ kind: 'ask' })
		for (const { loan } of borrower.asked) actions.push({ kind: 'abandon', loan })
		for (const { loan, endsAt, runs } of borrower.held) {
			if (borrower.renewals < this.bounds.renewals) actions.push({ kind: 'renew', loan })
			if (runs.length === 0) actions.push({ kind: 'give-back', loan })
			const canStart = left.starts > 0 && runs.length === 0 && state.now < endsAt
			if (canStart) actions.push({ kind: 'start-borrower', loan })
		}
		const isFree = getLoans(state).length + lender.runs.length === 0
		if (left.starts > 0 && isFree) actions.push({ kind: 'start-lender' })
		return actions
	}

	override apply(state: LoanState, action: LoanAction): LoanState {
		const { borrower } = state
		switch (action.kind) {
			case 'advance':
				return advance(state, action.by)
			case 'deliver':
				return this.deliver(state, action.index)
			case 'ask': {
				const loan = borrower.made
				const asked = [...borrower.asked, { loan }]
				const next = { ...state, borrower: { ...borrower, made: loan + 1, asked } }
				return this.send(next, { kind: 'request', loan, askedAt: state.now })
			}
			case 'abandon': {
				const asked = borrower.asked.filter(({ loan }) => loan !== action.loan)
				const next = { ...state, borrower: { ...borrower, asked } }
				return this.send(next, { kind: 'return', loan: action.loan })
			}
			case 'renew': {
				const next = { ...state, borrower: { ...borrower, renewals: borrower.renewals + 1 } }
				return this.send(next, { kind: 'request', loan: action.loan, askedAt: state.now })
			}
			case 'give-back': {
				const held = borrower.held.filter(({ loan }) => loan !== action.loan)
				const next = { ...state, borrower: { ...borrower, held } }
				return this.send(next, { kind: 'return', loan: action.loan })
			}
			case 'start-borrower':
				return start(state, action.loan)
			case 'start-lender': {
				const runs = [...state.lender.runs, state.now + terms.run]
				return { ...spendStart(state), lender: { ...state.lender, runs } }
			}
		}
	}

	private deliver(state: LoanState, index: number): LoanState {
		const sent = state.flight[index]
		if (!sent) return state
		const rest = state.flight.filter((_, at) => at !== index)
		const again = sent.copies > 1 ? [{ ...sent, copies: sent.copies - 1 }] : []
		const left = { ...state.left, deliveries: state.left.deliveries - 1 }
		const next = { ...state, left, flight: [...rest, ...again] }
		switch (sent.message.kind) {
			case 'request':
				return this.lend(next, sent.message.loan, sent.message.askedAt)
			case 'answer':
				return this.accept(next, sent.message.loan, sent.message.askedAt)
			case 'return':
				return takeBack(next, sent.message.loan)
		}
	}

	private lend(state: LoanState, loan: number, askedAt: number): LoanState {
		const { lender } = state
		const loans = getLoans(state)
		const known = loans.find((row) => row.loan === loan)
		const isFree = loans.length + lender.runs.length === 0
		if (lender.settled.includes(loan) || (!known && !isFree)) return state
		const reclaimedAt = state.now + this.getReclaimSpan()
		const end = known && this.mistake === 'renewal-not-noted' ? known.reclaimedAt : reclaimedAt
		const others = loans.filter((row) => row.loan !== loan)
		const isSkipped = this.mistake === 'lends-without-subtracting'
		const noted = isSkipped ? others : [...others, { loan, reclaimedAt: end }]
		const next = { ...state, lender: { ...lender, loans: noted } }
		return this.send(next, { kind: 'answer', loan, askedAt })
	}

	private accept(state: LoanState, loan: number, askedAt: number): LoanState {
		const { borrower } = state
		const from = this.mistake === 'lease-from-answer' ? state.now : askedAt
		const endsAt = from + terms.loanLease * (1 - terms.clockRateError)
		const known = borrower.held.find((row) => row.loan === loan)
		if (known) {
			const renewed = { ...known, endsAt: Math.max(known.endsAt, endsAt) }
			const held = borrower.held.map((row) => (row.loan === loan ? renewed : row))
			return { ...state, borrower: { ...borrower, held } }
		}
		const isAsked = borrower.asked.some((row) => row.loan === loan)
		if (!isAsked && this.mistake !== 'late-answer-counts') return state
		const asked = borrower.asked.filter((row) => row.loan !== loan)
		const held = [...borrower.held, { loan, endsAt, runs: [] }]
		return { ...state, borrower: { ...borrower, asked, held } }
	}

	private getReclaimSpan(): number {
		const lease = terms.loanLease * (1 + terms.clockRateError)
		if (this.mistake === 'reclaim-at-lease-end') return lease
		return lease + terms.run * (1 + terms.clockRateError) + terms.margin
	}

	private send(state: LoanState, message: LoanMessage): LoanState {
		return { ...state, flight: [...state.flight, { message, copies: this.bounds.copies }] }
	}
}

/** Loans of the lender that it has not taken back yet. */
function getLoans({ lender, now }: LoanState): LoanState['lender']['loans'] {
	return lender.loans.filter(({ reclaimedAt }) => now < reclaimedAt)
}

function spendStart(state: LoanState): LoanState {
	return { ...state, left: { ...state.left, starts: state.left.starts - 1 } }
}

function start(state: LoanState, loan: number): LoanState {
	const { borrower, now } = state
	const held = borrower.held.map((row) =>
		row.loan === loan ? { ...row, runs: [...row.runs, now + terms.run] } : row
	)
	return { ...spendStart(state), borrower: { ...borrower, held } }
}

function takeBack(state: LoanState, loan: number): LoanState {
	const { lender } = state
	const loans = lender.loans.filter((row) => row.loan !== loan)
	const settled = lender.settled.includes(loan) ? lender.settled : [...lender.settled, loan]
	return { ...state, lender: { ...lender, loans, settled } }
}

function advance(state: LoanState, by: number): LoanState {
	const now = state.now + by
	const isRunning = (end: number) => end > now
	const { lender, borrower } = state
	return {
		...state,
		now,
		left: { ...state.left, advances: state.left.advances - 1 },
		lender: { ...lender, runs: lender.runs.filter(isRunning) },
		borrower: {
			...borrower,
			held: borrower.held.map((row) => ({ ...row, runs: row.runs.filter(isRunning) })),
		},
	}
}

function checkRunning({ lender, borrower }: LoanState): string | undefined {
	const borrowed = borrower.held.reduce((sum, { runs }) => sum + runs.length, 0)
	const running = lender.runs.length + borrowed
	return running > 1 ? `${running} run on one unit` : undefined
}
