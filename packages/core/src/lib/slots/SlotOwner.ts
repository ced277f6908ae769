import type { Urgency } from '../fleet/Urgency.js'
import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { TeamId } from '../ids/TeamId.js'
import { OutlierEjection } from '../placement/OutlierEjection.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import { FairShareTracker } from './FairShareTracker.js'
import type { SlotDemand } from './SlotDemand.js'
import type { SlotEnd } from './SlotEnd.js'
import type { SlotGrant } from './SlotGrant.js'
import type { SlotReport } from './SlotReport.js'

/** Time for which a backend server gets no requests after it refused one because it was full. */
const FULL_BACKOFF_MILLISECONDS = 200

/** Number of consecutive urgent grants of a team before one of its waiting ordinary requests. */
const MAXIMUM_CONSECUTIVE_URGENT_GRANTS = 7

interface Server {
	readonly name: BackendServerId
	readonly availabilityZone: AvailabilityZoneId
	readonly slots: number
}

interface Options {
	readonly timers: TimerService
	/** Name of this entry instance; part of the ids of its grants. */
	readonly instance: InstanceId
	/** Returns the backend servers of a pool that may get new requests. */
	readonly getServers: (pool: PoolId) => readonly Server[]
	/** Returns the weight of a team in the max-min shares. */
	readonly getWeight: (team: TeamId) => number
	readonly getZone: (instance: InstanceId) => AvailabilityZoneId | undefined
}

interface PendingDemand {
	readonly instance: InstanceId
	readonly demand: SlotDemand
	readonly reportedAt: Milliseconds
	ungranted: number
}

interface PoolState {
	readonly pendingDemands: Map<InstanceId, PendingDemand[]>
	readonly grants: Map<string, SlotGrant>
	readonly runningByTeam: Map<TeamId, number>
	readonly runningByServer: Map<BackendServerId, number>
	readonly consecutiveUrgentGrants: Map<TeamId, number>
	readonly fairShares: FairShareTracker
}

/**
 * Grants the slots of the pools that this entry instance owns. The team that is furthest below its
 * weighted max-min share goes first, then urgent requests before ordinary ones, then the request
 * that has waited longest. Ownership only serves speed: two owners at once, or an owner that lost its
 * state, lead to refusals by full backend servers and nothing worse.
 *
 * @public
 */
export class SlotOwner {
	private readonly pools = new Map<PoolId, PoolState>()
	private readonly ejection: OutlierEjection
	private readonly probeGrants = new Set<string>()
	/** Backend servers whose last request failed; they are used only if no other one has a slot. */
	private readonly failingServers = new Set<BackendServerId>()
	private readonly fullUntil = new Map<BackendServerId, Milliseconds>()
	private lastGrantNumber = 0

	constructor(private readonly options: Options) {
		this.ejection = new OutlierEjection({ timers: options.timers })
	}

	/** Applies the report of an entry instance. */
	applyReport(report: SlotReport): void {
		const poolState = this.getPoolState(report.pool)
		if (report.inUse) this.adoptGrants(poolState, report.instance, report.inUse)
		for (const slotEnd of report.ends) this.endGrant(poolState, slotEnd)
		const reportedAt = this.options.timers.now()
		const { instance } = report
		poolState.pendingDemands.set(
			instance,
			report.demands.map((demand) => ({ instance, demand, reportedAt, ungranted: demand.count }))
		)
	}

	/** Removes an entry instance and its grants. */
	removeInstance(instance: InstanceId): void {
		for (const poolState of this.pools.values()) {
			poolState.pendingDemands.delete(instance)
			for (const held of poolState.grants.values()) {
				if (held.instance === instance) this.removeGrant(poolState, held)
			}
		}
	}

	/** Grants the free slots of a pool to waiting requests. */
	grantFreeSlots(pool: PoolId): SlotGrant[] {
		const poolState = this.getPoolState(pool)
		const servers = this.options.getServers(pool)
		this.ejection.setPool(
			pool,
			servers.map((server) => server.name)
		)
		this.updateFairShares(poolState, servers)
		const grants: SlotGrant[] = []
		for (let grant = this.grantNextSlot(pool, poolState, servers); grant;) {
			grants.push(grant)
			grant = this.grantNextSlot(pool, poolState, servers)
		}
		return grants
	}

	/** Returns the number of slots of a pool that are granted to a team. */
	countRunning(pool: PoolId, team: TeamId): number {
		return this.pools.get(pool)?.runningByTeam.get(team) ?? 0
	}

	private grantNextSlot(
		pool: PoolId,
		poolState: PoolState,
		servers: readonly Server[]
	): SlotGrant | undefined {
		const pending = this.chooseDemand(poolState)
		if (!pending) return undefined
		const server = this.chooseServer(poolState, servers, this.options.getZone(pending.instance))
		if (!server) return undefined
		const { team, urgency } = pending.demand
		const id = `${this.options.instance}/${++this.lastGrantNumber}`
		const grant: SlotGrant = {
			id,
			instance: pending.instance,
			pool,
			server: server.name,
			team,
			urgency,
		}
		pending.ungranted -= 1
		this.recordUrgency(poolState, team, urgency)
		this.addGrant(poolState, grant)
		if (this.ejection.recordStart(server.name)) this.probeGrants.add(id)
		return grant
	}

	private chooseDemand(poolState: PoolState): PendingDemand | undefined {
		const candidates = [...poolState.pendingDemands.values()]
			.flat()
			.filter((pending) => pending.ungranted > 0)
		let best: PendingDemand | undefined
		for (const pending of candidates)
			if (!best || this.hasPriority(poolState, pending, best)) best = pending
		return best
	}

	private hasPriority(poolState: PoolState, a: PendingDemand, b: PendingDemand): boolean {
		const [deficitA, deficitB] = [this.getDeficit(poolState, a), this.getDeficit(poolState, b)]
		if (deficitA !== deficitB) return deficitA > deficitB
		if (a.demand.team !== b.demand.team) return a.demand.team < b.demand.team
		if (a.demand.urgency !== b.demand.urgency) {
			const urgentGrants = poolState.consecutiveUrgentGrants.get(a.demand.team) ?? 0
			const preferred: Urgency =
				urgentGrants >= MAXIMUM_CONSECUTIVE_URGENT_GRANTS ? 'ordinary' : 'urgent'
			return a.demand.urgency === preferred
		}
		return getWaitingSince(a) < getWaitingSince(b)
	}

	private getDeficit(poolState: PoolState, { demand }: PendingDemand): number {
		return poolState.fairShares.getDeficit(
			demand.team,
			poolState.runningByTeam.get(demand.team) ?? 0
		)
	}

	private updateFairShares(poolState: PoolState, servers: readonly Server[]): void {
		const requested = new Map<TeamId, number>()
		for (const { demand, ungranted } of [...poolState.pendingDemands.values()].flat()) {
			requested.set(demand.team, (requested.get(demand.team) ?? 0) + ungranted)
		}
		const teams = new Set([...requested.keys(), ...poolState.runningByTeam.keys()])
		const usages = [...teams].map((team) => {
			const running = poolState.runningByTeam.get(team) ?? 0
			const usage = {
				running,
				requested: requested.get(team) ?? 0,
				weight: this.options.getWeight(team),
			}
			return [team, usage] as const
		})
		const capacity = servers.reduce((sum, server) => sum + server.slots, 0)
		poolState.fairShares.update(this.options.timers.now(), capacity, new Map(usages))
	}

	private chooseServer(
		poolState: PoolState,
		servers: readonly Server[],
		zone: AvailabilityZoneId | undefined
	): Server | undefined {
		const now = this.options.timers.now()
		const available = servers.filter(
			(server) =>
				(poolState.runningByServer.get(server.name) ?? 0) < server.slots &&
				(this.fullUntil.get(server.name) ?? 0) <= now &&
				this.ejection.isSelectable(server.name)
		)
		const preferred = available.filter((server) => !this.failingServers.has(server.name))
		const usable = preferred.length > 0 ? preferred : available
		const local = usable.filter((server) => server.availabilityZone === zone)
		const candidates = local.length > 0 ? local : usable
		let best: Server | undefined
		let bestLoad = Infinity
		for (const server of candidates) {
			const load = (poolState.runningByServer.get(server.name) ?? 0) / server.slots
			if (load >= bestLoad) continue
			best = server
			bestLoad = load
		}
		return best
	}

	private recordUrgency(poolState: PoolState, team: TeamId, urgency: Urgency): void {
		const urgentGrants =
			urgency === 'urgent' ? (poolState.consecutiveUrgentGrants.get(team) ?? 0) + 1 : 0
		poolState.consecutiveUrgentGrants.set(team, urgentGrants)
	}

	private endGrant(poolState: PoolState, { grant: id, result }: SlotEnd): void {
		const grant = poolState.grants.get(id)
		if (!grant) return
		const isProbe = this.probeGrants.delete(id)
		if (result === 'failure') this.failingServers.add(grant.server)
		if (result === 'success') this.failingServers.delete(grant.server)
		const isNeutral = result === 'unused' || result === 'full'
		this.ejection.recordEnd(grant.server, {
			result: isNeutral ? 'neutral' : result,
			probe: isProbe,
		})
		this.removeGrant(poolState, grant)
		if (result === 'full') {
			this.fullUntil.set(grant.server, this.options.timers.now() + FULL_BACKOFF_MILLISECONDS)
		}
	}

	/** Replaces the grants of an entry instance by those it has in use, from any owner. */
	private adoptGrants(
		poolState: PoolState,
		instance: InstanceId,
		inUse: readonly SlotGrant[]
	): void {
		for (const grant of poolState.grants.values()) {
			if (grant.instance === instance) this.removeGrant(poolState, grant)
		}
		for (const grant of inUse) this.addGrant(poolState, grant)
	}

	private addGrant(poolState: PoolState, grant: SlotGrant): void {
		if (poolState.grants.has(grant.id)) return
		poolState.grants.set(grant.id, grant)
		adjustCount(poolState.runningByTeam, grant.team, 1)
		adjustCount(poolState.runningByServer, grant.server, 1)
	}

	private removeGrant(poolState: PoolState, grant: SlotGrant): void {
		if (!poolState.grants.delete(grant.id)) return
		adjustCount(poolState.runningByTeam, grant.team, -1)
		adjustCount(poolState.runningByServer, grant.server, -1)
		if (!this.probeGrants.delete(grant.id)) return
		this.ejection.recordEnd(grant.server, { result: 'neutral', probe: true })
	}

	private getPoolState(pool: PoolId): PoolState {
		const existing = this.pools.get(pool)
		if (existing) return existing
		const poolState: PoolState = {
			pendingDemands: new Map(),
			grants: new Map(),
			runningByTeam: new Map(),
			runningByServer: new Map(),
			consecutiveUrgentGrants: new Map(),
			fairShares: new FairShareTracker(),
		}
		this.pools.set(pool, poolState)
		return poolState
	}
}

function getWaitingSince(pending: PendingDemand): Milliseconds {
	return pending.reportedAt - pending.demand.oldestAge
}

function adjustCount<Name>(counts: Map<Name, number>, name: Name, delta: number): void {
	const count = (counts.get(name) ?? 0) + delta
	if (count > 0) counts.set(name, count)
	else counts.delete(name)
}
