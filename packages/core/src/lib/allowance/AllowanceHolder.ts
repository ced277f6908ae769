import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { AllowanceChange } from '../log/AllowanceChange.js'
import type { AllowanceProposal } from '../log/AllowanceProposal.js'
import type { FleetState } from '../state/FleetState.js'
import type { Member } from '../state/Member.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import { allowanceTerms } from './allowanceTerms.js'
import type { AllowanceUnit } from './AllowanceUnit.js'
import type { BorrowedLoan } from './BorrowedLoan.js'
import { Borrower } from './Borrower.js'
import { getFloor } from './getFloor.js'
import { getRunBoundInForce } from './getRunBoundInForce.js'
import { Lender } from './Lender.js'
import type { LoanReply } from './LoanReply.js'
import type { LoanRequest } from './LoanRequest.js'
import type { LoanReturn } from './LoanReturn.js'

/**
 * What one entry instance may have running for each team. It counts its leases by its own clock
 * from before it sent the heartbeat, and checks the clock on every start.
 *
 * @example
 * ```ts
 * const unit = holder.tryStart(team)
 * if (!unit) return
 * // run the request, then
 * holder.finish(unit)
 * ```
 *
 * @public
 */
export class AllowanceHolder {
	readonly borrower: Borrower
	readonly lender: Lender
	private member: Member | undefined
	private runMilliseconds: Milliseconds = 0
	private renewedAt: Milliseconds = -Infinity
	private hasEnded = false
	private wasDropped = false
	private sequence = 0
	private readonly renewals = new Map<ProposalId, Milliseconds>()
	private readonly decreases = new Map<number, ReadonlyMap<TeamId, number>>()
	private readonly running = new Map<TeamId, number>()
	private readonly maximums = new Map<TeamId, number>()

	constructor(
		readonly instance: InstanceId,
		private readonly timerService: TimerService
	) {
		this.borrower = new Borrower(instance, timerService)
		this.lender = new Lender(timerService)
	}

	/** Whether it lost its membership or gave it up; it then starts nothing ever again. */
	get isEnded(): boolean {
		return this.hasEnded
	}

	/** Whether the fold dropped it; only a new incarnation can join again. */
	get isDropped(): boolean {
		return this.wasDropped
	}

	/** Notes that a join or heartbeat is about to be sent. To be called before each first send. */
	expectRenewal(id: ProposalId): void {
		if (!this.renewals.has(id)) this.renewals.set(id, this.timerService.now())
	}

	/** Takes what the folded state says of this member. To be called after each folded batch. */
	observe(state: FleetState): void {
		const seen = state.members.get(this.instance)
		if (this.member && seen?.joinedOffset !== this.member.joinedOffset) this.drop()
		this.member = seen
		this.runMilliseconds = getRunBoundInForce(state)
		if (!seen) return
		this.settleDecreases(seen.sequence)
		this.settleRenewals(state)
	}

	/**
	 * Units of the holder's own allowance that may be in use at `at`, without what is on loan.
	 *
	 * @param at - instant of the holder's clock, now or later
	 */
	getUsable(team: TeamId, at: Milliseconds = this.timerService.now()): number {
		return Math.max(0, this.getHeld(team, at) - this.lender.getLent(team))
	}

	/** Units of the holder's own allowance that are free now. */
	getFree(team: TeamId): number {
		return Math.max(0, this.getUsable(team) - this.getOwnRunning(team))
	}

	/** Units in use, on loans too. */
	getRunning(team: TeamId): number {
		let running = this.getOwnRunning(team)
		for (const loan of this.borrower.getLoans(team)) running += loan.units.size
		return running
	}

	/** Whether it runs anything for a team, has borrowed for it, or bounds what it may run. */
	isInUse(team: TeamId): boolean {
		if (this.running.has(team) || this.maximums.has(team)) return true
		for (const loan of this.borrower.getLoans(team)) if (loan.amount > 0) return true
		return false
	}

	/** Units that may be in use now, on loans too. */
	getCapacity(team: TeamId): number {
		let capacity = Math.max(this.getUsable(team), this.getOwnRunning(team))
		for (const loan of this.borrower.getLoans(team)) capacity += loan.amount
		return capacity
	}

	/** Takes a unit for a request that starts at once; undefined when none is free. */
	tryStart(team: TeamId): AllowanceUnit | undefined {
		if (this.hasEnded || this.getRunning(team) >= this.getMaximum(team)) return undefined
		const startedAt = this.timerService.now()
		const unit: AllowanceUnit = { team, startedAt, loan: undefined, isFinished: false }
		if (this.getFree(team) > 0) {
			this.changeRunning(team, 1)
			return unit
		}
		const loan = this.findLoan(team)
		if (!loan) return undefined
		this.borrower.use(loan, unit)
		return unit
	}

	/** Bounds what may run for a team below what is held; Infinity for no bound. */
	setMaximum(team: TeamId, maximum: number): void {
		if (maximum === Infinity) this.maximums.delete(team)
		else this.maximums.set(team, maximum)
	}

	/** Frees a unit. Idempotent. */
	finish(unit: AllowanceUnit): void {
		if (unit.isFinished) return
		unit.isFinished = true
		if (unit.loan) this.borrower.release(unit)
		else this.changeRunning(unit.team, -1)
		this.moveToOwn(unit.team)
	}

	/**
	 * Makes a proposal that changes the own allowance. Decreases are capped to what is free and are
	 * subtracted at once, until the proposal or a later one is seen in the log.
	 *
	 * @returns undefined when nothing is left to change
	 */
	createProposal(wanted: readonly AllowanceChange[]): AllowanceProposal | undefined {
		const changes = this.capAll(wanted)
		if (changes.length === 0) return undefined
		const sequence = ++this.sequence
		const decreases = changes.filter(({ delta }) => delta < 0)
		if (decreases.length > 0) {
			this.decreases.set(sequence, new Map(decreases.map(({ team, delta }) => [team, -delta])))
		}
		const { instance } = this
		return {
			kind: 'allowance',
			id: `${instance}/allowance/${sequence}`,
			instance,
			sequence,
			changes,
		}
	}

	/**
	 * Answers a request for a loan, or for another lease of one.
	 *
	 * @param spare - units that the holder does not need itself
	 */
	lend(request: LoanRequest, spare = Infinity): LoanReply {
		const { team } = request
		const end = this.timerService.now() + allowanceTerms.loanLease
		const isForThis = request.lender === this.instance && !this.hasEnded
		const held = isForThis ? this.getHeld(team, end) : 0
		const free = held - this.lender.getLent(team) - this.getOwnRunning(team)
		const canRenew = held >= this.lender.getLent(team) && isForThis
		return this.lender.lend(request, Math.min(free, spare), canRenew, this.runMilliseconds)
	}

	/** Answer to a request that gets nothing. */
	refuse(): LoanReply {
		const { loanLease } = allowanceTerms
		return { amount: 0, leaseMilliseconds: loanLease, runMilliseconds: this.runMilliseconds }
	}

	/** Takes back a loan or a part of it. */
	takeBack(loanReturn: Pick<LoanReturn, 'loan' | 'remaining'>): void {
		this.lender.takeBack(loanReturn)
		for (const team of this.running.keys()) this.moveToOwn(team)
	}

	/** Takes back and returns what ended. To be called a few times a second. */
	expire(): void {
		this.lender.expire()
		for (const loan of this.borrower.getAllLoans()) this.moveToOwn(loan.team)
		this.borrower.expire()
	}

	/** Whether nothing runs and nothing is on loan, so that the member may leave. */
	canLeave(): boolean {
		if (this.running.size > 0 || this.lender.hasLoans()) return false
		return [...this.borrower.getAllLoans()].every((loan) => loan.units.size === 0)
	}

	/** Stops all starts for good. To be called before a leave is sent. */
	end(): void {
		this.hasEnded = true
	}

	private drop(): void {
		this.wasDropped ||= !this.hasEnded
		this.end()
	}

	private getHeld(team: TeamId, at: Milliseconds): number {
		const { member } = this
		if (!member || this.hasEnded) return 0
		const amount = member.allowances.get(team) ?? 0
		const held = this.getLeased(amount, member.lapsed, at) - this.getDecrease(team)
		return Math.max(0, held)
	}

	private getLeased(amount: number, isFloorAlready: boolean, at: Milliseconds): number {
		const age = (at - this.renewedAt) / (1 - allowanceTerms.clockRateError)
		if (age < allowanceTerms.lease) return amount
		if (age >= allowanceTerms.floorLease) return 0
		return isFloorAlready ? amount : getFloor(amount)
	}

	private getDecrease(team: TeamId): number {
		let sum = 0
		for (const decreases of this.decreases.values()) sum += decreases.get(team) ?? 0
		return sum
	}

	private capAll(wanted: readonly AllowanceChange[]): AllowanceChange[] {
		const deltas = new Map<TeamId, number>()
		for (const { team, delta } of wanted) deltas.set(team, (deltas.get(team) ?? 0) + delta)
		const capped = [...deltas].map(([team, delta]) => ({
			team,
			delta: Math.max(delta, -this.getFree(team)),
		}))
		return capped.filter(({ delta }) => delta !== 0)
	}

	private settleDecreases(sequence: number): void {
		for (const pending of this.decreases.keys()) {
			if (pending <= sequence) this.decreases.delete(pending)
		}
	}

	private settleRenewals(state: FleetState): void {
		for (const [id, sentAt] of this.renewals) {
			const decision = state.decisions.get(id)
			if (!decision) continue
			if (decision.type === 'accepted') this.renewedAt = Math.max(this.renewedAt, sentAt)
			this.renewals.delete(id)
		}
	}

	private findLoan(team: TeamId): BorrowedLoan | undefined {
		for (const loan of this.borrower.getLoans(team)) {
			if (this.borrower.hasFree(loan, this.runMilliseconds)) return loan
		}
		return undefined
	}

	/** Counts running work against the own allowance in place of loans, as far as that is free. */
	private moveToOwn(team: TeamId): void {
		for (const loan of this.borrower.getLoans(team)) {
			for (const unit of loan.units) {
				if (this.getFree(team) === 0) return
				this.borrower.release(unit)
				this.changeRunning(team, 1)
			}
		}
	}

	private getMaximum(team: TeamId): number {
		return this.maximums.get(team) ?? Infinity
	}

	private getOwnRunning(team: TeamId): number {
		return this.running.get(team) ?? 0
	}

	private changeRunning(team: TeamId, delta: number): void {
		const running = this.getOwnRunning(team) + delta
		if (running > 0) this.running.set(team, running)
		else this.running.delete(team)
	}
}
