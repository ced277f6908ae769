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

/** Time between two sends of one unanswered return or renewal. */
const RESEND_INTERVAL: Milliseconds = 1000

/** Ticks over which the teams without work here are planned once. */
const IDLE_TURNS = 10

/**
 * Plans the allowance of one member on each tick, and answers the members that ask it for loans.
 *
 * @public
 */
export class AllowancePlanner {
	readonly peerLoads: PeerLoads
	private readonly reservations: Reservations
	private readonly peaks: DemandPeaks
	private readonly evenShares = new EvenShares()
	private readonly sentAt = new Map<string, Milliseconds>()
	/** Members asked for a new loan, as `team/lender`, that have not answered. */
	private readonly unansweredRequests = new Set<string>()
	private isLeaving = false
	private idleTurn = 0
	private queued: ReadonlyMap<TeamId, number> = new Map()

	constructor(
		readonly holder: AllowanceHolder,
		private readonly policy: AllowancePolicy,
		private readonly timerService: TimerService
	) {
		this.peerLoads = new PeerLoads(timerService)
		this.reservations = new Reservations(timerService)
		this.peaks = new DemandPeaks(timerService)
	}

	/**
	 * Plans every team anew that has work here, and the others in turn.
	 *
	 * @param queued - requests that wait at this member for allowance, by team
	 */
	tick(state: FleetState, queued: ReadonlyMap<TeamId, number>): AllowanceActions {
		this.queued = queued
		this.forgetRemovedMembers(state)
		this.holder.expireLoans()
		const changes: AllowanceChange[] = []
		const requests: LoanRequest[] = []
		this.evenShares.update(state)
		this.idleTurn = (this.idleTurn + 1) % IDLE_TURNS
		let index = 0
		for (const team of getTeams(state, this.holder.instance)) {
			if (index++ % IDLE_TURNS !== this.idleTurn && !this.isActive(team)) continue
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

	/** Takes a unit for a request that starts at once. */
	tryAcquire(team: TeamId) {
		const unit = this.holder.tryAcquire(team)
		if (unit) this.reservations.recordServed(team, this.holder.instance)
		return unit
	}

	/** Asks for nothing more and gives everything back as it becomes free. */
	leave(): void {
		this.isLeaving = true
	}

	/** Answers a member that asks for a loan. */
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

	/** Takes the answer to a request; undefined when there was none in time. */
	handleReply(request: LoanRequest, reply: LoanReply | undefined, requestedAt: Milliseconds): void {
		this.unansweredRequests.delete(`${request.team}/${request.lender}`)
		if (reply) this.holder.borrower.handleReply(request, reply, requestedAt)
		else this.holder.borrower.abandon(request)
	}

	/** What this member tells its peers of a team. */
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
			isNext: candidate !== undefined && this.reservations.isNextInTurn(team, candidate, requester),
			peers: this.peerLoads.get(team),
		}
	}

	private isActive(team: TeamId): boolean {
		if (this.queued.has(team) || this.holder.isTeamInUse(team)) return true
		return this.peaks.hasDemand(team) || this.reservations.getReservedUnits(team) > 0
	}

	private applyPlan(
		{ team, capacity, running }: TeamSituation,
		{ targetCapacity: keep, maximumRunning: maximum }: TeamPlan
	): void {
		this.holder.setMaximumRunning(team, maximum)
		const kept = this.isLeaving ? 0 : Math.ceil(keep)
		let excess = capacity - Math.max(running, kept)
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
		const renewalThreshold = this.timerService.now() + allowanceTerms.loanLease / 2
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

	private claimSend(key: string): boolean {
		const now = this.timerService.now()
		if (now - (this.sentAt.get(key) ?? -Infinity) < RESEND_INTERVAL) return false
		this.sentAt.set(key, now)
		return true
	}

	private forgetRemovedMembers(state: FleetState): void {
		for (const instance of this.peerLoads.getInstances()) {
			if (!state.members.has(instance)) this.peerLoads.remove(instance)
		}
		const oldest = this.timerService.now() - RESEND_INTERVAL
		for (const [key, sentAt] of this.sentAt) {
			if (sentAt < oldest) this.sentAt.delete(key)
		}
	}
}

/** Teams that the fleet document names, and removed ones that the member still holds allowance for. */
function* getTeams(state: FleetState, instance: InstanceId): Iterable<TeamId> {
	yield* state.teams.keys()
	for (const team of state.members.get(instance)?.allowances.keys() ?? []) {
		if (!state.teams.has(team)) yield team
	}
}
