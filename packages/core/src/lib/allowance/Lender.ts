import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import { allowanceTerms } from './allowanceTerms.js'
import { getReclaimDelay } from './getReclaimDelay.js'
import type { LoanReply } from './LoanReply.js'
import type { LoanRequest } from './LoanRequest.js'
import type { LoanReturn } from './LoanReturn.js'

/** Time for which a settled loan is remembered, so that a late request does not make it anew. */
const SETTLED_MEMORY: Milliseconds = 120_000

interface Loan {
	readonly borrower: InstanceId
	readonly team: TeamId
	amount: number
	/** Instant from which nothing that was started on the loan can still run. */
	reclaimedAt: Milliseconds
}

/**
 * Loans that a member gave. A loan is subtracted before it is answered, and comes back when the
 * borrower returns it or once nothing that was started on it can still run.
 *
 * @internal
 */
export class Lender {
	private readonly loans = new Map<string, Loan>()
	private readonly lent = new Map<TeamId, number>()
	private readonly settled = new Map<string, Milliseconds>()

	constructor(private readonly timerService: TimerService) {}

	/** Units of a team that are out on loan. */
	getLent(team: TeamId): number {
		return this.lent.get(team) ?? 0
	}

	/** Whether any loan is out. */
	hasLoans(): boolean {
		return this.loans.size > 0
	}

	/** Units of a team that are out on loan to one borrower. */
	getLentTo(team: TeamId, borrower: InstanceId): number {
		let amount = 0
		for (const loan of this.loans.values()) {
			if (loan.team === team && loan.borrower === borrower) amount += loan.amount
		}
		return amount
	}

	/**
	 * Lends, or renews the loan of that name.
	 *
	 * @param free - units that the lender may give away until the end of the lease
	 * @param canRenew - whether the units already out may stay out until the end of the lease
	 * @param runMilliseconds - longest run that the borrower may start
	 */
	lend(
		request: LoanRequest,
		free: number,
		canRenew: boolean,
		runMilliseconds: Milliseconds
	): LoanReply {
		this.expire()
		const terms = { leaseMilliseconds: allowanceTerms.loanLease, runMilliseconds }
		const amount = this.getAmount(request, free, canRenew)
		if (amount === 0) return { ...terms, amount }
		const end = this.timerService.now() + getReclaimSpan(runMilliseconds)
		const known = this.loans.get(request.loan)
		if (known) {
			known.reclaimedAt = Math.max(known.reclaimedAt, end)
			return { ...terms, amount }
		}
		const { borrower, team } = request
		this.loans.set(request.loan, { borrower, team, amount, reclaimedAt: end })
		this.change(team, amount)
		return { ...terms, amount }
	}

	/** Takes back what the borrower no longer holds. */
	takeBack({ loan: name, remaining }: Pick<LoanReturn, 'loan' | 'remaining'>): void {
		if (remaining === 0) this.settled.set(name, this.timerService.now() + SETTLED_MEMORY)
		const loan = this.loans.get(name)
		if (!loan || remaining >= loan.amount) return
		this.change(loan.team, remaining - loan.amount)
		loan.amount = remaining
		if (remaining === 0) this.loans.delete(name)
	}

	/** Takes back loans on which nothing can still run. */
	expire(): void {
		const now = this.timerService.now()
		for (const [name, loan] of this.loans) {
			if (now < loan.reclaimedAt) continue
			this.loans.delete(name)
			this.change(loan.team, -loan.amount)
		}
		for (const [name, until] of this.settled) {
			if (now >= until) this.settled.delete(name)
		}
	}

	private getAmount(request: LoanRequest, free: number, canRenew: boolean): number {
		if (this.settled.has(request.loan)) return 0
		const known = this.loans.get(request.loan)
		if (!known) return Math.max(0, Math.min(request.amount, free))
		return canRenew ? known.amount : 0
	}

	private change(team: TeamId, delta: number): void {
		const lent = this.getLent(team) + delta
		if (lent > 0) this.lent.set(team, lent)
		else this.lent.delete(team)
	}
}

function getReclaimSpan(runMilliseconds: Milliseconds): Milliseconds {
	const lease = allowanceTerms.loanLease * (1 + allowanceTerms.clockRateError)
	return lease + getReclaimDelay(runMilliseconds)
}
