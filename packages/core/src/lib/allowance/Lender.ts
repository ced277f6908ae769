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
const RETURNED_LOAN_RETENTION: Milliseconds = 120_000

interface Loan {
	readonly borrower: InstanceId
	readonly team: TeamId
	amount: number
	/** Instant from which nothing that was started on the loan can still run. */
	reclaimableAt: Milliseconds
}

/**
 * Loans that a member gave. A loan is subtracted before it is answered, and comes back when the
 * borrower returns it or once nothing that was started on it can still run.
 *
 * @internal
 */
export class Lender {
	private readonly loans = new Map<string, Loan>()
	private readonly lentByTeam = new Map<TeamId, number>()
	private readonly returnedLoans = new Map<string, Milliseconds>()

	constructor(private readonly timerService: TimerService) {}

	/** Units of a team that are out on loan. */
	getLentUnits(team: TeamId): number {
		return this.lentByTeam.get(team) ?? 0
	}

	/** Whether any loan is out. */
	hasLoans(): boolean {
		return this.loans.size > 0
	}

	/** Units of a team that are out on loan to one borrower. */
	getUnitsLentTo(team: TeamId, borrower: InstanceId): number {
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
		this.reclaimLoans()
		const terms = { leaseMilliseconds: allowanceTerms.loanLease, runMilliseconds }
		const amount = this.getLendableAmount(request, free, canRenew)
		if (amount === 0) return { ...terms, amount }
		const reclaimableAt = this.timerService.now() + getLoanReclaimDelay(runMilliseconds)
		const known = this.loans.get(request.loan)
		if (known) {
			known.reclaimableAt = Math.max(known.reclaimableAt, reclaimableAt)
			return { ...terms, amount }
		}
		const { borrower, team } = request
		this.loans.set(request.loan, { borrower, team, amount, reclaimableAt: reclaimableAt })
		this.adjustLent(team, amount)
		return { ...terms, amount }
	}

	/** Takes back what the borrower no longer holds. */
	acceptReturn({ loan: name, remaining }: Pick<LoanReturn, 'loan' | 'remaining'>): void {
		if (remaining === 0)
			this.returnedLoans.set(name, this.timerService.now() + RETURNED_LOAN_RETENTION)
		const loan = this.loans.get(name)
		if (!loan || remaining >= loan.amount) return
		this.adjustLent(loan.team, remaining - loan.amount)
		loan.amount = remaining
		if (remaining === 0) this.loans.delete(name)
	}

	/** Takes back loans on which nothing can still run. */
	reclaimLoans(): void {
		const now = this.timerService.now()
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
		const known = this.loans.get(request.loan)
		if (!known) return Math.max(0, Math.min(request.amount, free))
		return canRenew ? known.amount : 0
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
