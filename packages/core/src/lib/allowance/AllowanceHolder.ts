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
import { getAllowanceFloor } from './getAllowanceFloor.js'
import { getCurrentRunBound } from './getCurrentRunBound.js'
import { Lender } from './Lender.js'
import type { LoanReply } from './LoanReply.js'
import type { LoanRequest } from './LoanRequest.js'
import type { LoanReturn } from './LoanReturn.js'

/**
 * Limits how many requests of each team one entry instance runs. It counts its lease by its own
 * clock, from before the renewing heartbeat is sent, and checks it whenever a unit is acquired.
 *
 * @example
 * ```ts
 * const unit = holder.tryAcquire(team)
 * if (!unit) return
 * // run the request, then
 * holder.release(unit)
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
	private hasStopped = false
	private wasRemoved = false
	private sequence = 0
	/** Send times of the joins and heartbeats without a known decision. */
	private readonly pendingRenewals = new Map<ProposalId, Milliseconds>()
	/** Decreases that were not seen in the log yet, by sequence and team. */
	private readonly pendingDecreases = new Map<number, ReadonlyMap<TeamId, number>>()
	/** Units of the holder's own allowance that are in use, by team. */
	private readonly running = new Map<TeamId, number>()
	private readonly maximumRunning = new Map<TeamId, number>()

	constructor(
		readonly instance: InstanceId,
		private readonly timers: TimerService
	) {
		this.borrower = new Borrower(instance, timers)
		this.lender = new Lender(timers)
	}

	/** Whether the instance has left or lost its membership. It then never acquires a unit again. */
	get isStopped(): boolean {
		return this.hasStopped
	}

	/** Whether the fold removed the member before it left. Only a new incarnation can join again. */
	get isRemoved(): boolean {
		return this.wasRemoved
	}

	/** Records when a join or heartbeat is sent. Must be called before it is sent the first time. */
	trackRenewal(id: ProposalId): void {
		if (!this.pendingRenewals.has(id)) this.pendingRenewals.set(id, this.timers.now())
	}

	/** Reads this member's row from the folded state. Must be called after each batch of entries. */
	observe(state: FleetState): void {
		const current = state.members.get(this.instance)
		if (this.member && current?.joinedOffset !== this.member.joinedOffset) this.handleRemoval()
		this.member = current
		this.runMilliseconds = getCurrentRunBound(state)
		if (!current) return
		this.confirmDecreases(current.sequence)
		this.confirmRenewals(state)
	}

	/**
	 * Returns the units of the holder's own allowance, without those lent out, that may be in use.
	 *
	 * @param at - time of the holder's clock, in milliseconds; now or later
	 */
	getUsableUnits(team: TeamId, at: Milliseconds = this.timers.now()): number {
		return Math.max(0, this.getHeldUnits(team, at) - this.lender.getLentUnits(team))
	}

	/** Returns the units of the holder's own allowance that are neither in use nor lent out. */
	getFreeUnits(team: TeamId): number {
		return Math.max(0, this.getUsableUnits(team) - this.countOwnRunning(team))
	}

	/** Returns the number of units in use, including those of borrowed loans. */
	countRunning(team: TeamId): number {
		let running = this.countOwnRunning(team)
		for (const loan of this.borrower.getLoans(team)) running += loan.units.size
		return running
	}

	/** Whether a team has running requests, borrowed units or a maximum at this holder. */
	isTeamInUse(team: TeamId): boolean {
		if (this.running.has(team) || this.maximumRunning.has(team)) return true
		for (const loan of this.borrower.getLoans(team)) if (loan.amount > 0) return true
		return false
	}

	/** Returns the number of units that may be in use now, including those of borrowed loans. */
	getCapacity(team: TeamId): number {
		let capacity = Math.max(this.getUsableUnits(team), this.countOwnRunning(team))
		for (const loan of this.borrower.getLoans(team)) capacity += loan.amount
		return capacity
	}

	/** Acquires a unit for a request that starts at once. Returns undefined if none is free. */
	tryAcquire(team: TeamId): AllowanceUnit | undefined {
		if (this.hasStopped || this.countRunning(team) >= this.getMaximumRunning(team)) return undefined
		const startedAt = this.timers.now()
		const unit: AllowanceUnit = { team, startedAt, loan: undefined, isReleased: false }
		if (this.getFreeUnits(team) > 0) {
			this.adjustRunning(team, 1)
			return unit
		}
		const loan = this.findUsableLoan(team)
		if (!loan) return undefined
		this.borrower.assignUnit(loan, unit)
		return unit
	}

	/** Sets the maximum number of units that a team may use here; Infinity removes it. */
	setMaximumRunning(team: TeamId, maximum: number): void {
		if (maximum === Infinity) this.maximumRunning.delete(team)
		else this.maximumRunning.set(team, maximum)
	}

	/** Releases a unit. Idempotent. */
	release(unit: AllowanceUnit): void {
		if (unit.isReleased) return
		unit.isReleased = true
		if (unit.loan) this.borrower.releaseUnit(unit)
		else this.adjustRunning(unit.team, -1)
		this.moveUnitsOffLoans(unit.team)
	}

	/**
	 * Creates a proposal that changes the holder's own allowance. Decreases are limited to the free
	 * units, and are subtracted at once until the log shows this proposal or a later one.
	 *
	 * @returns the proposal, or undefined if nothing is left to change
	 */
	createProposal(requested: readonly AllowanceChange[]): AllowanceProposal | undefined {
		const changes = this.capChanges(requested)
		if (changes.length === 0) return undefined
		const sequence = ++this.sequence
		const decreases = changes.filter(({ delta }) => delta < 0)
		if (decreases.length > 0) {
			this.pendingDecreases.set(
				sequence,
				new Map(decreases.map(({ team, delta }) => [team, -delta]))
			)
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
	 * Answers a request for a new loan or for the renewal of one.
	 *
	 * @param spare - units that the holder does not need itself; a new loan is at most this large
	 */
	lend(request: LoanRequest, spare = Infinity): LoanReply {
		const { team } = request
		const loanEnd = this.timers.now() + allowanceTerms.loanLease
		const isActiveLender = request.lender === this.instance && !this.hasStopped
		const held = isActiveLender ? this.getHeldUnits(team, loanEnd) : 0
		const free = held - this.lender.getLentUnits(team) - this.countOwnRunning(team)
		const canRenew = held >= this.lender.getLentUnits(team) && isActiveLender
		return this.lender.lend(request, Math.min(free, spare), canRenew, this.runMilliseconds)
	}

	/** Creates the reply that lends nothing. */
	createRefusal(): LoanReply {
		const { loanLease } = allowanceTerms
		return { amount: 0, leaseMilliseconds: loanLease, runMilliseconds: this.runMilliseconds }
	}

	/** Takes back the units of a loan that the borrower has returned. */
	acceptReturn(loanReturn: Pick<LoanReturn, 'loan' | 'remaining'>): void {
		this.lender.acceptReturn(loanReturn)
		for (const team of this.running.keys()) this.moveUnitsOffLoans(team)
	}

	/** Reclaims lent units and returns borrowed units of expired loans. Called a few times a second. */
	expireLoans(): void {
		this.lender.reclaimLoans()
		for (const loan of this.borrower.getAllLoans()) this.moveUnitsOffLoans(loan.team)
		this.borrower.returnExpiredLoans()
	}

	/** Whether no units are in use or lent out, so that the member may leave. */
	canLeave(): boolean {
		if (this.running.size > 0 || this.lender.hasLoans()) return false
		return [...this.borrower.getAllLoans()].every((loan) => loan.units.size === 0)
	}

	/** Stops acquiring units for good. Must be called before a leave is sent. */
	stop(): void {
		this.hasStopped = true
	}

	private handleRemoval(): void {
		this.wasRemoved ||= !this.hasStopped
		this.stop()
	}

	/** Returns the units of the holder's own allowance at `at`, lent ones included. */
	private getHeldUnits(team: TeamId, at: Milliseconds): number {
		const { member } = this
		if (!member || this.hasStopped) return 0
		const amount = member.allowances.get(team) ?? 0
		const held = this.getLeasedUnits(amount, member.lapsed, at) - this.getPendingDecrease(team)
		return Math.max(0, held)
	}

	/** Returns the part of an allowance that the lease covers at `at`. */
	private getLeasedUnits(amount: number, isFloorOnly: boolean, at: Milliseconds): number {
		const age = (at - this.renewedAt) / (1 - allowanceTerms.clockRateError)
		if (age < allowanceTerms.lease) return amount
		if (age >= allowanceTerms.floorLease) return 0
		return isFloorOnly ? amount : getAllowanceFloor(amount)
	}

	private getPendingDecrease(team: TeamId): number {
		let sum = 0
		for (const decreases of this.pendingDecreases.values()) sum += decreases.get(team) ?? 0
		return sum
	}

	/** Limits decreases to the free units and drops changes of 0. */
	private capChanges(requested: readonly AllowanceChange[]): AllowanceChange[] {
		const deltas = new Map<TeamId, number>()
		for (const { team, delta } of requested) deltas.set(team, (deltas.get(team) ?? 0) + delta)
		const capped = [...deltas].map(([team, delta]) => ({
			team,
			delta: Math.max(delta, -this.getFreeUnits(team)),
		}))
		return capped.filter(({ delta }) => delta !== 0)
	}

	private confirmDecreases(sequence: number): void {
		for (const pendingSequence of this.pendingDecreases.keys()) {
			if (pendingSequence <= sequence) this.pendingDecreases.delete(pendingSequence)
		}
	}

	private confirmRenewals(state: FleetState): void {
		for (const [id, sentAt] of this.pendingRenewals) {
			const decision = state.decisions.get(id)
			if (!decision) continue
			if (decision.type === 'accepted') this.renewedAt = Math.max(this.renewedAt, sentAt)
			this.pendingRenewals.delete(id)
		}
	}

	private findUsableLoan(team: TeamId): BorrowedLoan | undefined {
		for (const loan of this.borrower.getLoans(team)) {
			if (this.borrower.canStartOn(loan, this.runMilliseconds)) return loan
		}
		return undefined
	}

	/** Moves running requests from borrowed loans to the holder's own allowance, as far as it is free. */
	private moveUnitsOffLoans(team: TeamId): void {
		for (const loan of this.borrower.getLoans(team)) {
			for (const unit of loan.units) {
				if (this.getFreeUnits(team) === 0) return
				this.borrower.releaseUnit(unit)
				this.adjustRunning(team, 1)
			}
		}
	}

	private getMaximumRunning(team: TeamId): number {
		return this.maximumRunning.get(team) ?? Infinity
	}

	private countOwnRunning(team: TeamId): number {
		return this.running.get(team) ?? 0
	}

	private adjustRunning(team: TeamId, delta: number): void {
		const running = this.countOwnRunning(team) + delta
		if (running > 0) this.running.set(team, running)
		else this.running.delete(team)
	}
}
