import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import { allowanceTerms } from './allowanceTerms.js'
import type { AllowanceUnit } from './AllowanceUnit.js'
import type { BorrowedLoan } from './BorrowedLoan.js'
import type { LoanReply } from './LoanReply.js'
import type { LoanRequest } from './LoanRequest.js'
import type { LoanReturn } from './LoanReturn.js'

/**
 * Tracks the loans that a member has borrowed. The borrower chooses the name of a loan, so that it
 * can return the loan even if the reply was lost.
 *
 * @internal
 */
export class Borrower {
	private readonly loans = new Map<string, BorrowedLoan>()
	private readonly loansByTeam = new Map<TeamId, Set<BorrowedLoan>>()
	private readonly pendingReturns = new Map<string, LoanReturn>()
	/** Names of new loans that were requested and not answered yet. */
	private readonly unansweredLoans = new Set<string>()
	private requestCount = 0

	constructor(
		private readonly instance: InstanceId,
		private readonly timers: TimerService
	) {}

	/** Returns the loans of a team, oldest first. */
	getLoans(team: TeamId): Iterable<BorrowedLoan> {
		return this.loansByTeam.get(team) ?? []
	}

	/** Returns the loans of all teams. */
	getAllLoans(): Iterable<BorrowedLoan> {
		return this.loans.values()
	}

	/** Creates a request for a new loan, with a new name. */
	createRequest(lender: InstanceId, team: TeamId, amount: number): LoanRequest {
		const loan = `${this.instance}/${this.requestCount++}`
		this.unansweredLoans.add(loan)
		return { loan, lender, borrower: this.instance, team, amount }
	}

	/** Creates a request to renew the lease of a loan. */
	createRenewal(loan: BorrowedLoan): LoanRequest {
		const { name, lender, team, amount } = loan
		return { loan: name, lender, borrower: this.instance, team, amount }
	}

	/**
	 * Handles the reply to a request.
	 *
	 * @param requestedAt - time of the borrower's clock before the request was sent
	 */
	handleReply(request: LoanRequest, reply: LoanReply, requestedAt: Milliseconds): void {
		const lease = reply.leaseMilliseconds * (1 - allowanceTerms.clockRateError)
		const endsAt = requestedAt + lease
		const isNewLoan = this.unansweredLoans.delete(request.loan)
		if (reply.amount === 0) return
		if (isNewLoan) {
			this.addLoan(request, reply, endsAt)
			return
		}
		const loan = this.loans.get(request.loan)
		if (!loan) return
		loan.amount = Math.min(loan.amount, reply.amount)
		loan.endsAt = Math.max(loan.endsAt, endsAt)
		loan.runMilliseconds = reply.runMilliseconds
	}

	/** Stops waiting for the reply to a request for a new loan, and returns whatever was lent. */
	abandon({ loan, lender }: LoanRequest): void {
		if (!this.unansweredLoans.delete(loan)) return
		this.pendingReturns.set(loan, { loan, lender, remaining: 0 })
	}

	/** Whether a request with the given longest run may start on the loan now. */
	canStartOn(loan: BorrowedLoan, runMilliseconds: Milliseconds): boolean {
		if (this.timers.now() >= loan.endsAt) return false
		return loan.units.size < loan.amount && runMilliseconds <= loan.runMilliseconds
	}

	/** Assigns a unit to a loan. */
	assignUnit(loan: BorrowedLoan, unit: AllowanceUnit): void {
		loan.units.add(unit)
		unit.loan = loan
	}

	/** Removes a unit from its loan. */
	releaseUnit(unit: AllowanceUnit): void {
		unit.loan?.units.delete(unit)
		unit.loan = undefined
	}

	/** Returns up to `amount` units of a loan, as far as they are not in use. */
	returnUnits(loan: BorrowedLoan, amount: number): void {
		const remaining = Math.max(loan.units.size, loan.amount - amount)
		if (remaining >= loan.amount) return
		loan.amount = remaining
		this.pendingReturns.set(loan.name, { loan: loan.name, lender: loan.lender, remaining })
		if (remaining === 0) this.removeLoan(loan)
	}

	/** Returns the units of expired loans that are not in use. */
	returnExpiredLoans(): void {
		const now = this.timers.now()
		for (const loan of this.loans.values()) {
			if (now >= loan.endsAt) this.returnUnits(loan, loan.amount)
		}
	}

	/** Lists the returns that their lenders have not confirmed yet. */
	getPendingReturns(): LoanReturn[] {
		return [...this.pendingReturns.values()]
	}

	/** Whether there are no loans, no unanswered requests and no unconfirmed returns. */
	isSettled(): boolean {
		return (
			this.loans.size === 0 && this.unansweredLoans.size === 0 && this.pendingReturns.size === 0
		)
	}

	/** Removes a return that the lender has confirmed, or whose lender is no longer a member. */
	confirmReturn(confirmed: LoanReturn): void {
		const pending = this.pendingReturns.get(confirmed.loan)
		if (pending && pending.remaining >= confirmed.remaining)
			this.pendingReturns.delete(confirmed.loan)
	}

	private addLoan(request: LoanRequest, reply: LoanReply, endsAt: Milliseconds): void {
		const { loan: name, lender, team } = request
		const { runMilliseconds } = reply
		const amount = Math.min(request.amount, reply.amount)
		const loan = { name, lender, team, amount, endsAt, runMilliseconds, units: new Set<never>() }
		this.loans.set(name, loan)
		const loans = this.loansByTeam.get(team) ?? new Set()
		this.loansByTeam.set(team, loans.add(loan))
	}

	private removeLoan(loan: BorrowedLoan): void {
		this.loans.delete(loan.name)
		const loans = this.loansByTeam.get(loan.team)
		loans?.delete(loan)
		if (loans?.size === 0) this.loansByTeam.delete(loan.team)
	}
}
