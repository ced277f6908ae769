import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { AllowanceChange } from '../log/AllowanceChange.js'
import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import type { AllowanceActions } from './AllowanceActions.js'
import type { AllowanceHolder } from './AllowanceHolder.js'
import type { AllowancePolicy } from './AllowancePolicy.js'
import { allowanceTerms } from './allowanceTerms.js'
import { EvenShares } from './EvenShares.js'
import { getAllowanceTotal } from './getAllowanceTotal.js'
import { getTeamLimit } from './getTeamLimit.js'
import type { LoanReply } from './LoanReply.js'
import type { LoanRequest } from './LoanRequest.js'
import type { LoanReturn } from './LoanReturn.js'
import { DemandPeaks } from './DemandPeaks.js'
import type { PeerLoad } from './PeerLoad.js'
import { PeerLoads } from './PeerLoads.js'
import { Reservations } from './Reservations.js'
import type { TeamPlan } from './TeamPlan.js'
import type { TeamSituation } from './TeamSituation.js'

/** Time after which an unanswered return or renewal is sent again. */
const RESEND_INTERVAL: Milliseconds = 1000

/** Number of ticks within which every team that is not active here is planned once. */
const IDLE_ROTATION_TICKS = 10

/**
 * Plans the allowance of one member on each tick, and answers loan requests of other members.
 *
 * @public
 */
export class AllowancePlanner {
	readonly peerLoads: PeerLoads
	private readonly reservations: Reservations
	private readonly peaks: DemandPeaks
	private readonly evenShares = new EvenShares()
	/** Time of the last send of each renewal and return. */
	private readonly sentAt = new Map<string, Milliseconds>()
	/** Teams and lenders, as `team/lender`, with an unanswered request for a new loan. */
	private readonly unansweredRequests = new Set<string>()
	private isLeaving = false
	private rotationTick = 0
	/** Number of requests that wait for allowance at this member, by team. */
	private queued: ReadonlyMap<TeamId, number> = new Map()

	constructor(
		readonly holder: AllowanceHolder,
		private readonly policy: AllowancePolicy,
		private readonly timers: TimerService
	) {
		this.peerLoads = new PeerLoads(timers)
		this.reservations = new Reservations(timers)
		this.peaks = new DemandPeaks(timers)
	}

	/**
	 * Plans every team that is active here, and the other teams in rotation.
	 *
	 * @param queued - number of requests that wait for allowance at this member, by team
	 */
	tick(state: FleetState, queued: ReadonlyMap<TeamId, number>): AllowanceActions {
		this.queued = queued
		this.removeStaleEntries(state)
		this.holder.expireLoans()
		const changes: AllowanceChange[] = []
		const requests: LoanRequest[] = []
		this.evenShares.update(state)
		this.rotationTick = (this.rotationTick + 1) % IDLE_ROTATION_TICKS
		let index = 0
		for (const team of getTeams(state, this.holder.instance)) {
			if (index++ % IDLE_ROTATION_TICKS !== this.rotationTick && !this.isActive(team)) continue
			const situation = this.getSituation(state, team)
			const plan = this.policy.plan(situation)
			this.applyPlan(situation, plan)
			if (this.isLeaving) continue
			if (plan.delta !== 0) changes.push({ team, delta: plan.delta })
			requests.push(...this.createRequests(team, plan))
		}
		if (!this.isLeaving) requests.push(...this.createRenewals())
		return { changes, requests, returns: this.getReturns(state) }
	}

	/** Acquires a unit for a request that starts at once. Returns undefined if none is free. */
	tryAcquire(team: TeamId) {
		const unit = this.holder.tryAcquire(team)
		if (unit) this.reservations.recordServed(team, this.holder.instance)
		return unit
	}

	/** Stops requesting allowance, and returns borrowed units as they become free. */
	leave(): void {
		this.isLeaving = true
	}

	/** Answers the loan request of another member. */
	lend(state: FleetState, request: LoanRequest): LoanReply {
		const { team, borrower } = request
		if (this.isLeaving) return this.holder.createRefusal()
		if (!state.members.has(borrower)) return this.holder.lend(request, 0)
		const lendable = this.policy.getLendableUnits(this.getSituation(state, team, borrower))
		const spare = lendable - this.reservations.countServedEarlier(team, borrower)
		const reply = this.holder.lend(request, Math.max(0, spare))
		this.reservations.setUnmetDemand(team, borrower, request.amount - reply.amount)
		if (reply.amount > 0) this.reservations.recordServed(team, borrower)
		return reply
	}

	/** Handles the reply to a request, or its timeout when the reply is undefined. */
	handleReply(request: LoanRequest, reply: LoanReply | undefined, requestedAt: Milliseconds): void {
		this.unansweredRequests.delete(`${request.team}/${request.lender}`)
		if (reply) this.holder.borrower.handleReply(request, reply, requestedAt)
		else this.holder.borrower.abandon(request)
	}

	/** Returns the load of a team at this member, as reported to its peers. */
	getLoad(state: FleetState, team: TeamId): PeerLoad {
		const situation = this.getSituation(state, team)
		const { running, queued } = situation
		const free = this.policy.getLendableUnits(situation)
		return { instance: this.holder.instance, running, queued, free }
	}

	private getSituation(state: FleetState, team: TeamId, requester?: InstanceId): TeamSituation {
		const { holder } = this
		const limit = getTeamLimit(state, team)
		const running = holder.countRunning(team)
		const queued = this.queued.get(team) ?? 0
		// A lender without waiting requests does not compete for the turn.
		const candidate = requester !== undefined && queued === 0 ? undefined : holder.instance
		return {
			team,
			limit,
			running,
			queued,
			total: getAllowanceTotal(state, team),
			evenShare: this.evenShares.get(team, limit, holder.instance),
			granted: state.members.get(holder.instance)?.allowances.get(team) ?? 0,
			free: holder.getFreeUnits(team),
			capacity: holder.getCapacity(team),
			peak: this.peaks.update(team, Math.min(limit, running + queued)),
			reserved: this.reservations.getReservedUnits(team),
			isNextInTurn:
				candidate !== undefined && this.reservations.isNextInTurn(team, candidate, requester),
			peers: this.peerLoads.get(team),
		}
	}

	private isActive(team: TeamId): boolean {
		if (this.queued.has(team) || this.holder.isTeamInUse(team)) return true
		return this.peaks.hasDemand(team) || this.reservations.getReservedUnits(team) > 0
	}

	private applyPlan(
		{ team, capacity, running }: TeamSituation,
		{ targetCapacity, maximumRunning }: TeamPlan
	): void {
		this.holder.setMaximumRunning(team, maximumRunning)
		const neededCapacity = this.isLeaving ? 0 : Math.ceil(targetCapacity)
		let excess = capacity - Math.max(running, neededCapacity)
		for (const loan of this.holder.borrower.getLoans(team)) {
			if (this.peerLoads.isLeaving(loan.lender)) this.holder.borrower.returnUnits(loan, loan.amount)
			if (excess <= 0) continue
			const before = loan.amount
			this.holder.borrower.returnUnits(loan, excess)
			excess -= before - loan.amount
		}
	}

	private createRequests(team: TeamId, plan: TeamPlan): LoanRequest[] {
		const requests: LoanRequest[] = []
		for (const { lender, amount } of plan.loans) {
			const key = `${team}/${lender}`
			if (this.unansweredRequests.has(key) || this.peerLoads.isLeaving(lender)) continue
			this.unansweredRequests.add(key)
			requests.push(this.holder.borrower.createRequest(lender, team, amount))
		}
		return requests
	}

	private createRenewals(): LoanRequest[] {
		const { borrower } = this.holder
		const renewalThreshold = this.timers.now() + allowanceTerms.loanLease / 2
		const due = [...borrower.getAllLoans()].filter(
			(loan) => loan.endsAt < renewalThreshold && !this.peerLoads.isLeaving(loan.lender)
		)
		return due
			.filter((loan) => this.claimSend(`renew ${loan.name}`))
			.map((loan) => borrower.createRenewal(loan))
	}

	private getReturns(state: FleetState): LoanReturn[] {
		const { borrower } = this.holder
		const due: LoanReturn[] = []
		for (const loanReturn of borrower.getPendingReturns()) {
			if (!state.members.has(loanReturn.lender)) borrower.confirmReturn(loanReturn)
			else if (this.claimSend(`return ${loanReturn.loan} ${loanReturn.remaining}`))
				due.push(loanReturn)
		}
		return due
	}

	/** Whether a renewal or return may be sent now. If so, records the time. */
	private claimSend(key: string): boolean {
		const now = this.timers.now()
		if (now - (this.sentAt.get(key) ?? -Infinity) < RESEND_INTERVAL) return false
		this.sentAt.set(key, now)
		return true
	}

	/** Removes the loads of former members, and send times that no longer delay a send. */
	private removeStaleEntries(state: FleetState): void {
		for (const instance of this.peerLoads.getInstances()) {
			if (!state.members.has(instance)) this.peerLoads.remove(instance)
		}
		const oldest = this.timers.now() - RESEND_INTERVAL
		for (const [key, sentAt] of this.sentAt) {
			if (sentAt < oldest) this.sentAt.delete(key)
		}
	}
}

/** Yields the teams of the fleet document, then removed teams for which the member holds allowance. */
function* getTeams(state: FleetState, instance: InstanceId): Iterable<TeamId> {
	yield* state.teams.keys()
	for (const team of state.members.get(instance)?.allowances.keys() ?? []) {
		if (!state.teams.has(team)) yield team
	}
}
