import {
	AllowanceHolder,
	Fold,
	VirtualTimerService,
	type AllowanceUnit,
	type BorrowedLoan,
	type LoanReply,
	type LoanRequest,
	type Proposal,
} from '@mastichead/core'
import { allowanceTerms } from '../allowances/allowanceTerms.js'
import type { LoanAction } from './LoanAction.js'

const TEAM = 'team'

interface InFlightMessage {
	readonly deliver: () => void
	readonly copies: number
}

/**
 * Replays traces of the loan model with one loan on the real holders.
 *
 * @internal
 */
export class LoanReplay {
	private readonly timers = new VirtualTimerService()
	private readonly fold = new Fold()
	private readonly lender: AllowanceHolder
	private readonly borrower: AllowanceHolder
	private readonly requests: LoanRequest[] = []
	private inFlight: InFlightMessage[] = []
	private runs: {
		readonly holder: AllowanceHolder
		readonly unit: AllowanceUnit
		readonly endsAt: number
	}[] = []

	constructor(private readonly copies: number) {
		this.fold.state.teams.set(TEAM, { name: TEAM, share: 1, limit: 1 })
		this.fold.state.runBounds = [{ runMilliseconds: allowanceTerms.run }]
		this.lender = this.join('lender')
		this.borrower = this.join('borrower')
		const proposal = this.lender.createProposal([{ team: TEAM, delta: 1 }])
		if (proposal) this.foldProposal(proposal)
		this.lender.observe(this.fold.state)
		this.borrower.observe(this.fold.state)
	}

	apply(action: LoanAction): void {
		const { borrower } = this.borrower
		switch (action.kind) {
			case 'advance':
				this.advance(action.by)
				break
			case 'deliver':
				this.deliver(action.index)
				break
			case 'request': {
				const request = borrower.createRequest('lender', TEAM, 1)
				this.requests.push(request)
				this.sendRequest(request)
				break
			}
			case 'abandon':
				borrower.abandon(this.getRequest(action.loan))
				this.sendReturns()
				break
			case 'renew':
				this.sendRequest(borrower.createRenewal(this.getLoan()))
				break
			case 'give-back':
				borrower.returnUnits(this.getLoan(), 1)
				this.sendReturns()
				break
			case 'start-borrower':
				this.start(this.borrower)
				break
			case 'start-lender':
				this.start(this.lender)
				break
		}
	}

	/**
	 * Returns the free units of the lender, and the lease end and the number of runs of each loan
	 * that the borrower holds.
	 */
	getUsage() {
		const loans = [...this.borrower.borrower.getLoans(TEAM)]
		return {
			free: this.lender.getFreeUnits(TEAM),
			held: loans.map(({ endsAt, units }) => ({ endsAt, runs: units.size })),
		}
	}

	private join(instance: string): AllowanceHolder {
		const holder = new AllowanceHolder(instance, this.timers)
		const id = `${instance}/join`
		holder.trackRenewal(id)
		this.foldProposal({ kind: 'join', id, instance, availabilityZone: 'a', peerAddress: 'a:1' })
		return holder
	}

	private foldProposal(proposal: Proposal): void {
		this.fold.apply({ offset: this.fold.state.offset + 1, at: this.timers.now(), proposal })
	}

	private advance(by: number): void {
		this.timers.advance(by)
		for (const { holder, unit, endsAt } of this.runs) {
			if (endsAt <= this.timers.now()) holder.release(unit)
		}
		this.runs = this.runs.filter(({ endsAt }) => endsAt > this.timers.now())
		this.lender.expireLoans()
	}

	private deliver(index: number): void {
		const [sent] = this.inFlight.splice(index, 1)
		if (!sent) return
		if (sent.copies > 1) this.inFlight.push({ ...sent, copies: sent.copies - 1 })
		sent.deliver()
	}

	private sendRequest(request: LoanRequest): void {
		const requestedAt = this.timers.now()
		this.send(() => {
			const reply = this.lender.lend(request)
			if (reply.amount > 0) this.sendAnswer(request, reply, requestedAt)
		})
	}

	private sendAnswer(request: LoanRequest, reply: LoanReply, requestedAt: number): void {
		this.send(() => {
			this.borrower.borrower.handleReply(request, reply, requestedAt)
		})
	}

	private sendReturns(): void {
		const { borrower } = this.borrower
		for (const loanReturn of borrower.getPendingReturns()) {
			borrower.confirmReturn(loanReturn)
			this.send(() => {
				this.lender.acceptReturn(loanReturn)
			})
		}
	}

	private send(deliver: () => void): void {
		this.inFlight.push({ deliver, copies: this.copies })
	}

	private start(holder: AllowanceHolder): void {
		const unit = holder.tryAcquire(TEAM)
		if (!unit) throw new Error('the model may start a run, but the holder has no free unit')
		this.runs.push({ holder, unit, endsAt: this.timers.now() + allowanceTerms.run })
	}

	private getRequest(loan: number): LoanRequest {
		const request = this.requests[loan]
		if (!request) throw new Error(`loan ${loan} was never requested`)
		return request
	}

	private getLoan(): BorrowedLoan {
		const [loan] = this.borrower.borrower.getLoans(TEAM)
		if (!loan) throw new Error('the borrower holds a loan in the model, but not in the replay')
		return loan
	}
}
