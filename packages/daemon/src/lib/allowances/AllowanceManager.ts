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
	/** Returns the number of requests queued at this daemon, by team. */
	readonly getQueued: () => ReadonlyMap<TeamId, number>
	/** Called when units may have been gained, so that queued requests can start. */
	readonly onUnitsGained: () => void
	/** By default, members lend units to each other. */
	readonly policy?: AllowancePolicy
}

/**
 * Manages the allowance of this daemon: requests its part of each team limit from the ledger in the
 * log, and lends units to and borrows units from other daemons.
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

	/** Stops requesting units, so that all of them are released as requests end. */
	leave(): void {
		this.planner.leave()
	}

	/** Returns how many more requests of a team may start at this daemon now. */
	getAvailableUnits(team: TeamId): number {
		return Math.max(0, this.holder.getCapacity(team) - this.holder.countRunning(team))
	}

	override tryAcquire(team: TeamId): AllowanceUnit | undefined {
		return this.planner.tryAcquire(team)
	}

	override release(unit: AllowanceUnit): void {
		this.holder.release(unit)
	}

	/** Answers a loan request of a peer. */
	lend(request: LoanRequest): LoanReply {
		return this.planner.lend(this.options.log.state, request)
	}

	/** Accepts a loan that a peer returns. */
	acceptReturn(loanReturn: Pick<LoanReturn, 'loan' | 'remaining'>): void {
		this.holder.acceptReturn(loanReturn)
	}

	/** Updates what is known of a peer: its load of each team and whether it is leaving. */
	updatePeer(
		instance: InstanceId,
		loads: Iterable<readonly [TeamId, Omit<PeerLoad, 'instance'>]>,
		isLeaving: boolean
	): void {
		this.planner.peerLoads.update(instance, loads)
		this.planner.peerLoads.setLeaving(instance, isLeaving)
	}

	/** Returns the load of each team, as reported to peers. */
	getLoads(): ReadonlyMap<TeamId, PeerLoad> {
		const { state } = this.options.log
		const loads = new Map<TeamId, PeerLoad>()
		for (const team of state.teams.keys()) loads.set(team, this.planner.getLoad(state, team))
		return loads
	}

	/**
	 * Plans the allowance of every team and sends the resulting proposal, loan requests and returns.
	 * Runs periodically and on demand.
	 */
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
