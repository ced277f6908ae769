import {
	type BackendServer,
	type BackendServerId,
	type FleetState,
	getConnectionShare,
	getPlaceableServers,
	getRendezvousScore,
	type InstanceId,
	type Milliseconds,
	type PoolId,
	type Scheduler,
	type ServerListing,
	type SlotDemand,
	type SlotEnd,
	type SlotGrant,
	SlotHolder,
	SlotOwner,
	type SlotReport,
	type Subscription,
	type TeamId,
	type TimerService,
} from '@mastichead/core'
import { RequestSlots } from './RequestSlots.js'
import type { SlotTransport } from './SlotTransport.js'

/** Minimum time between two reports on a pool. */
const MINIMUM_REPORT_INTERVAL_MILLISECONDS = 1

/** Time between checks for expired grants, unreachable instances and due reports. */
const TICK_INTERVAL_MILLISECONDS = 50

/** Minimum time between reports on a pool if only its number of waiting requests changed. */
const DEMAND_REPORT_INTERVAL_MILLISECONDS = 1

/** Time after which unchanged demands are reported again. */
const DEMAND_REFRESH_INTERVAL_MILLISECONDS = 500

/** How long an instance that did not answer a report is not chosen as owner. */
const UNRESPONSIVE_OWNER_MILLISECONDS = 2000

interface Options {
	readonly timers: TimerService
	readonly instance: InstanceId
	readonly transport: SlotTransport
	readonly getState: () => FleetState
	/** Returns the state of each backend server in the platform's instance list. */
	readonly getListings: () => ReadonlyMap<BackendServerId, ServerListing>
	readonly getScheduler: () => Scheduler
	/** Returns how many more requests of a team may start within this daemon's allowance now. */
	readonly getAvailableUnits: (team: TeamId) => number
}

interface ReportState {
	/** Whether a report is waiting for its response. */
	isInFlight: boolean
	/** Number of waiting requests in the last report that have no grant yet. */
	waiting: number
	/** Instant of the last report; 0 before the first. */
	reportedAt: Milliseconds
	/** Whether a timer for the next report is running. */
	isScheduled: boolean
}

/**
 * Obtains slots of backend servers from the owner of each pool, and grants the slots of the pools
 * that this daemon owns. The owner is chosen by rendezvous hashing among the reachable daemons.
 *
 * @public
 */
export class SlotManager extends RequestSlots {
	private readonly holder: SlotHolder
	private readonly owner: SlotOwner
	private readonly reportStates = new Map<PoolId, ReportState>()
	/** Instant until which an instance that did not answer is not chosen as owner. */
	private readonly unresponsiveUntil = new Map<InstanceId, Milliseconds>()
	/** Instances that were reachable at the last tick. */
	private lastReachable: ReadonlySet<InstanceId> = new Set()
	/** Number of requests of this daemon that run, or may still run, by backend server. */
	private readonly running = new Map<BackendServerId, number>()
	private timer: Subscription | undefined

	constructor(private readonly options: Options) {
		super()
		const { timers, instance, getState } = options
		this.holder = new SlotHolder(instance, timers)
		this.owner = new SlotOwner({
			timers,
			instance,
			getServers: (pool) => this.getServers(pool),
			getWeight: (team) => getState().teams.get(team)?.share ?? 1,
			getZone: (name) => getState().members.get(name)?.availabilityZone,
		})
	}

	start(): void {
		this.timer = this.options.timers.every(TICK_INTERVAL_MILLISECONDS, () => {
			this.tick()
		})
	}

	stop(): void {
		this.timer?.cancel()
	}

	override getCapacity(pool: PoolId): number {
		return this.getServers(pool).reduce((sum, server) => sum + server.slots, 0)
	}

	override reserve(
		pool: PoolId,
		team: TeamId,
		excluded: ReadonlySet<BackendServerId> = new Set()
	): BackendServerId | undefined {
		const server = this.holder.reserve(pool, team, excluded)
		if (server !== undefined) this.running.set(server, this.getRunningCount(server) + 1)
		return server
	}

	override release(server: BackendServerId, pool: PoolId, team: TeamId): void {
		this.endUse({ pool, team, server }, 'unused')
	}

	/** Ends the use of a slot once its request can no longer run. */
	override endUse(
		use: { readonly pool: PoolId; readonly team: TeamId; readonly server: BackendServerId },
		result: SlotEnd['result']
	): void {
		this.holder.end(use, result)
		const running = this.getRunningCount(use.server) - 1
		if (running > 0) this.running.set(use.server, running)
		else this.running.delete(use.server)
		this.notifyChange(use.pool)
	}

	/**
	 * Returns the number of requests of this daemon that run, or may still run, on a backend server.
	 */
	getRunningCount(server: BackendServerId): number {
		return this.running.get(server) ?? 0
	}

	/**
	 * Returns the backend servers with requests of this daemon and the number of requests on each.
	 */
	getBusyServers(): ReadonlyMap<BackendServerId, number> {
		return this.running
	}

	/** Returns the number of connections that this daemon may hold to a backend server. */
	getConnectionLimit(server: BackendServer): number {
		return getConnectionShare(server, this.options.transport.getReachableInstances().length + 1)
	}

	/**
	 * Reports on a pool after a change, as soon as the minimum interval since the last report is
	 * over.
	 */
	notifyChange(pool: PoolId): void {
		const reportState = this.getReportState(pool)
		if (reportState.isScheduled || reportState.isInFlight) return
		const wait =
			reportState.reportedAt + MINIMUM_REPORT_INTERVAL_MILLISECONDS - this.options.timers.now()
		if (wait <= 0) {
			this.reportIfDue(pool)
			return
		}
		reportState.isScheduled = true
		this.options.timers.after(wait, () => {
			reportState.isScheduled = false
			this.reportIfDue(pool)
		})
	}

	/**
	 * Processes a report as owner of its pool.
	 *
	 * @returns the grants for the reporting instance
	 */
	handleReport(report: SlotReport): SlotGrant[] {
		this.owner.applyReport(report)
		return this.grantFreeSlots(report.pool, report.instance)
	}

	/** Accepts grants from the owner of their pool. */
	acceptGrants(owner: InstanceId, grants: readonly SlotGrant[]): void {
		for (const grant of grants) {
			this.holder.addGrant(grant, owner)
			const reportState = this.getReportState(grant.pool)
			reportState.waiting = Math.max(0, reportState.waiting - 1)
		}
		if (grants.length > 0) this.options.getScheduler().tick()
	}

	/** Expires grants, drops unreachable instances and sends the reports that are due. */
	private tick(): void {
		this.holder.returnUnusedGrants()
		this.dropUnreachable()
		const pools = new Set([...this.options.getScheduler().queues.getPools(), ...this.holder.pools])
		for (const pool of pools) this.reportIfDue(pool)
	}

	private reportIfDue(pool: PoolId): void {
		const reportState = this.getReportState(pool)
		if (reportState.isInFlight) return
		const demands = this.getDemands(pool)
		const waiting = demands.reduce((sum, demand) => sum + demand.count, 0)
		if (!this.isDue(pool, reportState, waiting)) return
		reportState.waiting = waiting
		reportState.reportedAt = this.options.timers.now()
		void this.report(pool, demands, reportState)
	}

	private isDue(
		pool: PoolId,
		{ waiting: reportedWaiting, reportedAt }: ReportState,
		waiting: number
	): boolean {
		const age = this.options.timers.now() - reportedAt
		if (this.holder.hasEnds(pool)) return true
		if (waiting > 0 && age >= DEMAND_REFRESH_INTERVAL_MILLISECONDS) return true
		if (waiting === reportedWaiting) return false
		return reportedWaiting === 0 || age >= DEMAND_REPORT_INTERVAL_MILLISECONDS
	}

	private async report(
		pool: PoolId,
		demands: readonly SlotDemand[],
		reportState: ReportState
	): Promise<void> {
		const owner = this.chooseOwner(pool)
		this.holder.setOwner(pool, owner)
		const report = this.holder.createReport(pool, demands)
		if (owner === this.options.instance) {
			this.acceptGrants(owner, this.handleReport(report))
			return
		}
		reportState.isInFlight = true
		const grants = await this.options.transport.sendReport(owner, report)
		reportState.isInFlight = false
		if (grants) {
			this.acceptGrants(owner, grants)
			this.notifyChange(pool)
			return
		}
		this.unresponsiveUntil.set(owner, this.options.timers.now() + UNRESPONSIVE_OWNER_MILLISECONDS)
		this.holder.setOwner(pool, undefined)
		reportState.waiting = 0
	}

	/**
	 * Grants the free slots of a pool. Grants for instances other than the reporter are sent to them.
	 */
	private grantFreeSlots(pool: PoolId, reporter: InstanceId): SlotGrant[] {
		const grants = this.owner.grantFreeSlots(pool)
		const byInstance = new Map<InstanceId, SlotGrant[]>()
		for (const grant of grants) {
			byInstance.set(grant.instance, [...(byInstance.get(grant.instance) ?? []), grant])
		}
		for (const [instance, rows] of byInstance) {
			if (instance !== reporter) void this.deliverGrants(instance, rows)
		}
		return byInstance.get(reporter) ?? []
	}

	private async deliverGrants(instance: InstanceId, grants: readonly SlotGrant[]): Promise<void> {
		if (instance === this.options.instance) {
			this.acceptGrants(instance, grants)
			return
		}
		if (await this.options.transport.sendGrants(instance, grants)) return
		this.owner.removeInstance(instance)
	}

	private getDemands(pool: PoolId): SlotDemand[] {
		const scheduler = this.options.getScheduler()
		return scheduler.getDemands(pool, (team) => {
			const unused = this.holder.countUnused(pool, team)
			const waiting = scheduler.queues.getTeamQueueSize(pool, team)
			return Math.min(waiting, this.options.getAvailableUnits(team)) - unused
		})
	}

	private chooseOwner(pool: PoolId): InstanceId {
		const now = this.options.timers.now()
		const { instance, transport } = this.options
		let best = instance
		for (const candidate of transport.getReachableInstances()) {
			if ((this.unresponsiveUntil.get(candidate) ?? 0) > now) continue
			if (getRendezvousScore(candidate, pool) > getRendezvousScore(best, pool)) best = candidate
		}
		return best
	}

	private dropUnreachable(): void {
		const reachable = new Set(this.options.transport.getReachableInstances())
		for (const instance of this.lastReachable)
			if (!reachable.has(instance)) this.owner.removeInstance(instance)
		this.lastReachable = reachable
	}

	private getServers(pool: PoolId): readonly BackendServer[] {
		return getPlaceableServers(this.options.getState(), pool, this.options.getListings())
	}

	private getReportState(pool: PoolId): ReportState {
		const existing = this.reportStates.get(pool)
		if (existing) return existing
		const reportState: ReportState = {
			isInFlight: false,
			waiting: 0,
			reportedAt: 0,
			isScheduled: false,
		}
		this.reportStates.set(pool, reportState)
		return reportState
	}
}
