import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import { allowanceTerms } from './allowanceTerms.js'
import { getReclaimDelay } from './getReclaimDelay.js'
import type { LoanReply } from './LoanReply.js'
import type { LoanRequest } from './LoanRequest.js'
import type { LoanReturn } from './LoanReturn.js'

/** Time for which a returned loan is remembered, so that a late request does not create it again. */
const RETURNED_LOAN_RETENTION: Milliseconds = 120_000

interface Loan {
	readonly borrower: InstanceId
	readonly team: TeamId
	amount: number
	/** Time from which no request that was started on the loan can still run. */
	reclaimableAt: Milliseconds
}

/**
 * Tracks the loans that a member has given. The lender subtracts a loan before it replies, and gets
 * it back when the borrower returns it or once no request started on it can still run.
 *
 * @internal
 */
export class Lender {
	private readonly loans = new Map<string, Loan>()
	private readonly lentByTeam = new Map<TeamId, number>()
	/** Names of returned loans, with the time until which each is remembered. */
	private readonly returnedLoans = new Map<string, Milliseconds>()

	constructor(private readonly timers: TimerService) {}

	/** Returns the units of a team that are lent out. */
	getLentUnits(team: TeamId): number {
		return this.lentByTeam.get(team) ?? 0
	}

	/** Whether any units are lent out. */
	hasLoans(): boolean {
		return this.loans.size > 0
	}

	/** Returns the units of a team that are lent to one borrower. */
	getUnitsLentTo(team: TeamId, borrower: InstanceId): number {
		let amount = 0
		for (const loan of this.loans.values()) {
			if (loan.team === team && loan.borrower === borrower) amount += loan.amount
		}
		return amount
	}

	/**
	 * Gives a new loan, or renews the loan that the request names.
	 *
	 * @param free - number of units that may be lent until the end of the lease
	 * @param canRenew - whether the units already lent may stay lent until the end of the lease
	 * @param runMilliseconds - longest run of a request that the borrower may start
	 */
	lend(
		request: LoanRequest,
		free: number,
		canRenew: boolean,
		runMilliseconds: Milliseconds
	): LoanReply {
		this.reclaimLoans()
		const terms = { leaseMilliseconds: allowanceTerms.loanLease, runMilliseconds }
		const amount = this.getLendableAmount(request, free, canRenew)
		if (amount === 0) return { ...terms, amount }
		const reclaimableAt = this.timers.now() + getLoanReclaimDelay(runMilliseconds)
		const existing = this.loans.get(request.loan)
		if (existing) {
			existing.reclaimableAt = Math.max(existing.reclaimableAt, reclaimableAt)
			return { ...terms, amount }
		}
		const { borrower, team } = request
		this.loans.set(request.loan, { borrower, team, amount, reclaimableAt })
		this.adjustLent(team, amount)
		return { ...terms, amount }
	}

	/** Takes back the units that the borrower has returned. */
	acceptReturn({ loan: name, remaining }: Pick<LoanReturn, 'loan' | 'remaining'>): void {
		if (remaining === 0) this.returnedLoans.set(name, this.timers.now() + RETURNED_LOAN_RETENTION)
		const loan = this.loans.get(name)
		if (!loan || remaining >= loan.amount) return
		this.adjustLent(loan.team, remaining - loan.amount)
		loan.amount = remaining
		if (remaining === 0) this.loans.delete(name)
	}

	/** Takes back the loans on which no request can still run. */
	reclaimLoans(): void {
		const now = this.timers.now()
		for (const [name, loan] of this.loans) {
			if (now < loan.reclaimableAt) continue
			this.loans.delete(name)
			this.adjustLent(loan.team, -loan.amount)
		}
		for (const [name, until] of this.returnedLoans) {
			if (now >= until) this.returnedLoans.delete(name)
		}
	}

	private getLendableAmount(request: LoanRequest, free: number, canRenew: boolean): number {
		if (this.returnedLoans.has(request.loan)) return 0
		const existing = this.loans.get(request.loan)
		if (!existing) return Math.max(0, Math.min(request.amount, free))
		return canRenew ? existing.amount : 0
	}

	private adjustLent(team: TeamId, delta: number): void {
		const lent = this.getLentUnits(team) + delta
		if (lent > 0) this.lentByTeam.set(team, lent)
		else this.lentByTeam.delete(team)
	}
}

function getLoanReclaimDelay(runMilliseconds: Milliseconds): Milliseconds {
	const lease = allowanceTerms.loanLease * (1 + allowanceTerms.clockRateError)
	return lease + getReclaimDelay(runMilliseconds)
}
