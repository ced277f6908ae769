import {
	AllowanceHolder,
	AllowancePlanner,
	AllowanceSource,
	LendingPolicy,
	type AllowanceChange,
	type AllowancePolicy,
	type AllowanceUnit,
	type InstanceId,
	type LoanReply,
	type LoanRequest,
	type LoanReturn,
	type PeerLoad,
	type Subscription,
	type TeamId,
	type TimerService,
} from '@mastichead/core'
import type { LogManager } from '../log/LogManager.js'
import type { LoanTransport } from '../peers/LoanTransport.js'

const TICK_INTERVAL_MILLISECONDS = 100
const PROPOSE_TIMEOUT_MILLISECONDS = 5000

interface Options {
	readonly timers: TimerService
	readonly log: LogManager
	readonly instance: InstanceId
	readonly loans: LoanTransport
	/** Requests that wait at this daemon, by team. */
	readonly getQueued: () => ReadonlyMap<TeamId, number>
	/** Called when allowance came in, so that waiting requests may start. */
	readonly onUnitsGained: () => void
	/** By default units are lent between members. */
	readonly policy?: AllowancePolicy
}

/**
 * Keeps the allowance of this daemon: asks the ledger in the log for its part of each limit, and
 * lends to and borrows from other daemons.
 *
 * @public
 */
export class AllowanceManager extends AllowanceSource<AllowanceUnit> {
	readonly holder: AllowanceHolder
	private readonly planner: AllowancePlanner
	private timer: Subscription | undefined
	private isProposing = false

	constructor(private readonly options: Options) {
		super()
		const { instance, timers } = options
		this.holder = new AllowanceHolder(instance, timers)
		this.planner = new AllowancePlanner(this.holder, options.policy ?? new LendingPolicy(), timers)
	}

	start(): void {
		this.timer = this.options.timers.every(TICK_INTERVAL_MILLISECONDS, () => {
			this.tick()
		})
	}

	stop(): void {
		this.timer?.cancel()
	}

	/** Asks for nothing more, so that everything is released as requests end. */
	leave(): void {
		this.planner.leave()
	}

	/** Requests of a team that may start here now. */
	getAvailableUnits(team: TeamId): number {
		return Math.max(0, this.holder.getCapacity(team) - this.holder.countRunning(team))
	}

	override tryAcquire(team: TeamId): AllowanceUnit | undefined {
		return this.planner.tryAcquire(team)
	}

	override release(unit: AllowanceUnit): void {
		this.holder.release(unit)
	}

	/** Answers a peer that asks for a loan. */
	lend(request: LoanRequest): LoanReply {
		return this.planner.lend(this.options.log.state, request)
	}

	/** Takes back a loan that a peer returns. */
	acceptReturn(loanReturn: Pick<LoanReturn, 'loan' | 'remaining'>): void {
		this.holder.acceptReturn(loanReturn)
	}

	/** Takes in what a peer tells of its teams, and whether it is about to leave. */
	updatePeer(
		instance: InstanceId,
		loads: Iterable<readonly [TeamId, Omit<PeerLoad, 'instance'>]>,
		isLeaving: boolean
	): void {
		this.planner.peerLoads.update(instance, loads)
		this.planner.peerLoads.setLeaving(instance, isLeaving)
	}

	/** What this daemon tells its peers of each team. */
	getLoads(): ReadonlyMap<TeamId, PeerLoad> {
		const { state } = this.options.log
		const loads = new Map<TeamId, PeerLoad>()
		for (const team of state.teams.keys()) loads.set(team, this.planner.getLoad(state, team))
		return loads
	}

	/** Plans every team anew and sends what that takes. Runs a few times a second and on demand. */
	tick(): void {
		const { log, getQueued } = this.options
		const { changes, requests, returns } = this.planner.tick(log.state, getQueued())
		void this.propose(changes)
		for (const [lender, loans] of groupByLender(requests)) void this.borrow(lender, loans)
		for (const [lender, loans] of groupByLender(returns)) void this.returnLoans(lender, loans)
	}

	private async propose(changes: readonly AllowanceChange[]): Promise<void> {
		if (this.isProposing) return
		const proposal = this.holder.createProposal(changes)
		if (!proposal) return
		this.isProposing = true
		await this.options.log.propose(proposal, PROPOSE_TIMEOUT_MILLISECONDS)
		this.isProposing = false
		this.options.onUnitsGained()
	}

	private async borrow(lender: InstanceId, requests: readonly LoanRequest[]): Promise<void> {
		const sentAt = this.options.timers.now()
		const replies = await this.options.loans.borrow(lender, requests)
		for (const [index, request] of requests.entries()) {
			this.planner.handleReply(request, replies?.[index], sentAt)
		}
		if (replies) this.options.onUnitsGained()
	}

	private async returnLoans(lender: InstanceId, returns: readonly LoanReturn[]): Promise<void> {
		const isConfirmed = await this.options.loans.returnLoans(lender, returns)
		if (!isConfirmed) return
		for (const loanReturn of returns) this.holder.borrower.confirmReturn(loanReturn)
	}
}

function groupByLender<Row extends { readonly lender: InstanceId }>(
	rows: readonly Row[]
): Map<InstanceId, Row[]> {
	const groups = new Map<InstanceId, Row[]>()
	for (const row of rows) {
		const group = groups.get(row.lender) ?? []
		group.push(row)
		groups.set(row.lender, group)
	}
	return groups
}
