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

interface OwnedPool {
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
	private readonly pools = new Map<PoolId, OwnedPool>()
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
		const ownedPool = this.getOwnedPool(report.pool)
		if (report.inUse) this.adoptGrants(ownedPool, report.instance, report.inUse)
		for (const slotEnd of report.ends) this.endGrant(ownedPool, slotEnd)
		const reportedAt = this.options.timers.now()
		const { instance } = report
		ownedPool.pendingDemands.set(
			instance,
			report.demands.map((demand) => ({ instance, demand, reportedAt, ungranted: demand.count }))
		)
	}

	/** Removes an entry instance and its grants. */
	removeInstance(instance: InstanceId): void {
		for (const ownedPool of this.pools.values()) {
			ownedPool.pendingDemands.delete(instance)
			for (const held of ownedPool.grants.values()) {
				if (held.instance === instance) this.removeGrant(ownedPool, held)
			}
		}
	}

	/** Grants the free slots of a pool to waiting requests. */
	grantFreeSlots(pool: PoolId): SlotGrant[] {
		const ownedPool = this.getOwnedPool(pool)
		const servers = this.options.getServers(pool)
		this.ejection.setPool(
			pool,
			servers.map((server) => server.name)
		)
		this.updateFairShares(ownedPool, servers)
		const grants: SlotGrant[] = []
		for (let grant = this.grantNextSlot(pool, ownedPool, servers); grant;) {
			grants.push(grant)
			grant = this.grantNextSlot(pool, ownedPool, servers)
		}
		return grants
	}

	/** Returns the number of slots of a pool that are granted to a team. */
	countRunning(pool: PoolId, team: TeamId): number {
		return this.pools.get(pool)?.runningByTeam.get(team) ?? 0
	}

	private grantNextSlot(
		pool: PoolId,
		ownedPool: OwnedPool,
		servers: readonly Server[]
	): SlotGrant | undefined {
		const pending = this.chooseDemand(ownedPool)
		if (!pending) return undefined
		const server = this.chooseServer(ownedPool, servers, this.options.getZone(pending.instance))
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
		this.recordUrgency(ownedPool, team, urgency)
		this.addGrant(ownedPool, grant)
		if (this.ejection.recordStart(server.name)) this.probeGrants.add(id)
		return grant
	}

	private chooseDemand(ownedPool: OwnedPool): PendingDemand | undefined {
		const candidates = [...ownedPool.pendingDemands.values()]
			.flat()
			.filter((pending) => pending.ungranted > 0)
		let best: PendingDemand | undefined
		for (const pending of candidates)
			if (!best || this.hasPriority(ownedPool, pending, best)) best = pending
		return best
	}

	private hasPriority(ownedPool: OwnedPool, a: PendingDemand, b: PendingDemand): boolean {
		const [deficitA, deficitB] = [this.getDeficit(ownedPool, a), this.getDeficit(ownedPool, b)]
		if (deficitA !== deficitB) return deficitA > deficitB
		if (a.demand.team !== b.demand.team) return a.demand.team < b.demand.team
		if (a.demand.urgency !== b.demand.urgency) {
			const urgentGrants = ownedPool.consecutiveUrgentGrants.get(a.demand.team) ?? 0
			const preferred: Urgency =
				urgentGrants >= MAXIMUM_CONSECUTIVE_URGENT_GRANTS ? 'ordinary' : 'urgent'
			return a.demand.urgency === preferred
		}
		return getWaitingSince(a) < getWaitingSince(b)
	}

	private getDeficit(ownedPool: OwnedPool, { demand }: PendingDemand): number {
		return ownedPool.fairShares.getDeficit(
			demand.team,
			ownedPool.runningByTeam.get(demand.team) ?? 0
		)
	}

	private updateFairShares(ownedPool: OwnedPool, servers: readonly Server[]): void {
		const requested = new Map<TeamId, number>()
		for (const { demand, ungranted } of [...ownedPool.pendingDemands.values()].flat()) {
			requested.set(demand.team, (requested.get(demand.team) ?? 0) + ungranted)
		}
		const teams = new Set([...requested.keys(), ...ownedPool.runningByTeam.keys()])
		const usages = [...teams].map((team) => {
			const running = ownedPool.runningByTeam.get(team) ?? 0
			const usage = {
				running,
				requested: requested.get(team) ?? 0,
				weight: this.options.getWeight(team),
			}
			return [team, usage] as const
		})
		const capacity = servers.reduce((sum, server) => sum + server.slots, 0)
		ownedPool.fairShares.update(this.options.timers.now(), capacity, new Map(usages))
	}

	private chooseServer(
		ownedPool: OwnedPool,
		servers: readonly Server[],
		zone: AvailabilityZoneId | undefined
	): Server | undefined {
		const now = this.options.timers.now()
		const available = servers.filter(
			(server) =>
				(ownedPool.runningByServer.get(server.name) ?? 0) < server.slots &&
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
			const load = (ownedPool.runningByServer.get(server.name) ?? 0) / server.slots
			if (load >= bestLoad) continue
			best = server
			bestLoad = load
		}
		return best
	}

	private recordUrgency(ownedPool: OwnedPool, team: TeamId, urgency: Urgency): void {
		const urgentGrants =
			urgency === 'urgent' ? (ownedPool.consecutiveUrgentGrants.get(team) ?? 0) + 1 : 0
		ownedPool.consecutiveUrgentGrants.set(team, urgentGrants)
	}

	private endGrant(ownedPool: OwnedPool, { grant: id, result }: SlotEnd): void {
		const grant = ownedPool.grants.get(id)
		if (!grant) return
		const isProbe = this.probeGrants.delete(id)
		if (result === 'failure') this.failingServers.add(grant.server)
		if (result === 'success') this.failingServers.delete(grant.server)
		const isNeutral = result === 'unused' || result === 'full'
		this.ejection.recordEnd(grant.server, {
			result: isNeutral ? 'neutral' : result,
			probe: isProbe,
		})
		this.removeGrant(ownedPool, grant)
		if (result === 'full') {
			this.fullUntil.set(grant.server, this.options.timers.now() + FULL_BACKOFF_MILLISECONDS)
		}
	}

	/** Replaces the grants of an entry instance by those it has in use, from any owner. */
	private adoptGrants(
		ownedPool: OwnedPool,
		instance: InstanceId,
		inUse: readonly SlotGrant[]
	): void {
		for (const grant of ownedPool.grants.values()) {
			if (grant.instance === instance) this.removeGrant(ownedPool, grant)
		}
		for (const grant of inUse) this.addGrant(ownedPool, grant)
	}

	private addGrant(ownedPool: OwnedPool, grant: SlotGrant): void {
		if (ownedPool.grants.has(grant.id)) return
		ownedPool.grants.set(grant.id, grant)
		adjustCount(ownedPool.runningByTeam, grant.team, 1)
		adjustCount(ownedPool.runningByServer, grant.server, 1)
	}

	private removeGrant(ownedPool: OwnedPool, grant: SlotGrant): void {
		if (!ownedPool.grants.delete(grant.id)) return
		adjustCount(ownedPool.runningByTeam, grant.team, -1)
		adjustCount(ownedPool.runningByServer, grant.server, -1)
		if (!this.probeGrants.delete(grant.id)) return
		this.ejection.recordEnd(grant.server, { result: 'neutral', probe: true })
	}

	private getOwnedPool(pool: PoolId): OwnedPool {
		const existing = this.pools.get(pool)
		if (existing) return existing
		const ownedPool: OwnedPool = {
			pendingDemands: new Map(),
			grants: new Map(),
			runningByTeam: new Map(),
			runningByServer: new Map(),
			consecutiveUrgentGrants: new Map(),
			fairShares: new FairShareTracker(),
		}
		this.pools.set(pool, ownedPool)
		return ownedPool
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
