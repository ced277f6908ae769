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

/** Time for which a backend server that refused a request gets no other one. */
const FULL_BACKOFF_MILLISECONDS = 200

/** Urgent grants to a team in a row while its ordinary requests wait. */
const MAXIMUM_URGENT_STREAK = 7

interface Server {
	readonly name: BackendServerId
	readonly availabilityZone: AvailabilityZoneId
	readonly slots: number
}

interface Options {
	readonly timers: TimerService
	/** This entry instance, part of the ids of its grants. */
	readonly instance: InstanceId
	/** Backend servers of a pool that may get new work. */
	readonly getServers: (pool: PoolId) => readonly Server[]
	/** Weight of a team. */
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
	readonly urgentStreaks: Map<TeamId, number>
	readonly fairShares: FairShareTracker
}

/**
 * Gives out the slots of pools for which this entry instance is the owner: the team that is
 * furthest below its weighted max-min share first, its urgent requests before its ordinary ones, the one that has
 * waited longest first. Ownership is a matter of speed only: two owners at once, or one that
 * forgot, cost refusals by full backend servers and nothing else.
 *
 * @public
 */
export class SlotOwner {
	private readonly pools = new Map<PoolId, PoolState>()
	private readonly ejection: OutlierEjection
	private readonly probeGrants = new Set<string>()
	/** Backend servers whose last request failed; they are used after the others. */
	private readonly failingServers = new Set<BackendServerId>()
	private readonly fullUntil = new Map<BackendServerId, Milliseconds>()
	private lastGrantNumber = 0

	constructor(private readonly options: Options) {
		this.ejection = new OutlierEjection({ timers: options.timers })
	}

	/** Takes what an entry instance reports. */
	applyReport(report: SlotReport): void {
		const table = this.getPoolState(report.pool)
		if (report.inUse) this.adoptGrants(table, report.instance, report.inUse)
		for (const slotEnd of report.ends) this.endGrant(table, slotEnd)
		const reportedAt = this.options.timers.now()
		const { instance } = report
		table.pendingDemands.set(
			instance,
			report.demands.map((demand) => ({ instance, demand, reportedAt, ungranted: demand.count }))
		)
	}

	/** Forgets an entry instance and its grants. */
	removeInstance(instance: InstanceId): void {
		for (const table of this.pools.values()) {
			table.pendingDemands.delete(instance)
			for (const held of table.grants.values()) {
				if (held.instance === instance) this.removeGrant(table, held)
			}
		}
	}

	/** Gives out the free slots of a pool. */
	grantFreeSlots(pool: PoolId): SlotGrant[] {
		const table = this.getPoolState(pool)
		const servers = this.options.getServers(pool)
		this.ejection.setPool(
			pool,
			servers.map((server) => server.name)
		)
		this.updateFairShares(table, servers)
		const grants: SlotGrant[] = []
		for (let grant = this.grantNextSlot(pool, table, servers); grant;) {
			grants.push(grant)
			grant = this.grantNextSlot(pool, table, servers)
		}
		return grants
	}

	/** Requests of a team that hold slots of a pool. */
	countRunning(pool: PoolId, team: TeamId): number {
		return this.pools.get(pool)?.runningByTeam.get(team) ?? 0
	}

	private grantNextSlot(
		pool: PoolId,
		table: PoolState,
		servers: readonly Server[]
	): SlotGrant | undefined {
		const wish = this.chooseDemand(table)
		if (!wish) return undefined
		const server = this.chooseServer(table, servers, this.options.getZone(wish.instance))
		if (!server) return undefined
		const { team, urgency } = wish.demand
		const id = `${this.options.instance}/${++this.lastGrantNumber}`
		const grant: SlotGrant = {
			id,
			instance: wish.instance,
			pool,
			server: server.name,
			team,
			urgency,
		}
		wish.ungranted -= 1
		this.recordUrgency(table, team, urgency)
		this.addGrant(table, grant)
		if (this.ejection.recordStart(server.name)) this.probeGrants.add(id)
		return grant
	}

	private chooseDemand(table: PoolState): PendingDemand | undefined {
		const wishes = [...table.pendingDemands.values()].flat().filter((wish) => wish.ungranted > 0)
		let best: PendingDemand | undefined
		for (const wish of wishes) if (!best || this.hasPriority(table, wish, best)) best = wish
		return best
	}

	private hasPriority(table: PoolState, a: PendingDemand, b: PendingDemand): boolean {
		const [deficitA, deficitB] = [this.getDeficit(table, a), this.getDeficit(table, b)]
		if (deficitA !== deficitB) return deficitA > deficitB
		if (a.demand.team !== b.demand.team) return a.demand.team < b.demand.team
		if (a.demand.urgency !== b.demand.urgency) {
			const inARow = table.urgentStreaks.get(a.demand.team) ?? 0
			const first: Urgency = inARow >= MAXIMUM_URGENT_STREAK ? 'ordinary' : 'urgent'
			return a.demand.urgency === first
		}
		return getWaitingSince(a) < getWaitingSince(b)
	}

	private getDeficit(table: PoolState, { demand }: PendingDemand): number {
		return table.fairShares.getDeficit(demand.team, table.runningByTeam.get(demand.team) ?? 0)
	}

	private updateFairShares(table: PoolState, servers: readonly Server[]): void {
		const requested = new Map<TeamId, number>()
		for (const { demand, ungranted: left } of [...table.pendingDemands.values()].flat()) {
			requested.set(demand.team, (requested.get(demand.team) ?? 0) + left)
		}
		const teams = new Set([...requested.keys(), ...table.runningByTeam.keys()])
		const usages = [...teams].map((team) => {
			const running = table.runningByTeam.get(team) ?? 0
			const usage = {
				running,
				requested: requested.get(team) ?? 0,
				weight: this.options.getWeight(team),
			}
			return [team, usage] as const
		})
		const capacity = servers.reduce((sum, server) => sum + server.slots, 0)
		table.fairShares.update(this.options.timers.now(), capacity, new Map(usages))
	}

	private chooseServer(
		table: PoolState,
		servers: readonly Server[],
		zone: AvailabilityZoneId | undefined
	): Server | undefined {
		const now = this.options.timers.now()
		const available = servers.filter(
			(server) =>
				(table.runningByServer.get(server.name) ?? 0) < server.slots &&
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
			const load = (table.runningByServer.get(server.name) ?? 0) / server.slots
			if (load >= bestLoad) continue
			best = server
			bestLoad = load
		}
		return best
	}

	private recordUrgency(table: PoolState, team: TeamId, urgency: Urgency): void {
		const inARow = urgency === 'urgent' ? (table.urgentStreaks.get(team) ?? 0) + 1 : 0
		table.urgentStreaks.set(team, inARow)
	}

	private endGrant(table: PoolState, { grant: id, result }: SlotEnd): void {
		const grant = table.grants.get(id)
		if (!grant) return
		const probe = this.probeGrants.delete(id)
		if (result === 'failure') this.failingServers.add(grant.server)
		if (result === 'success') this.failingServers.delete(grant.server)
		const isNeutral = result === 'unused' || result === 'full'
		this.ejection.recordEnd(grant.server, { result: isNeutral ? 'neutral' : result, probe })
		this.removeGrant(table, grant)
		if (result === 'full') {
			this.fullUntil.set(grant.server, this.options.timers.now() + FULL_BACKOFF_MILLISECONDS)
		}
	}

	/** Takes over the grants that an entry instance has in use, whoever gave them. */
	private adoptGrants(table: PoolState, instance: InstanceId, inUse: readonly SlotGrant[]): void {
		for (const grant of table.grants.values()) {
			if (grant.instance === instance) this.removeGrant(table, grant)
		}
		for (const grant of inUse) this.addGrant(table, grant)
	}

	private addGrant(table: PoolState, grant: SlotGrant): void {
		if (table.grants.has(grant.id)) return
		table.grants.set(grant.id, grant)
		adjustCount(table.runningByTeam, grant.team, 1)
		adjustCount(table.runningByServer, grant.server, 1)
	}

	private removeGrant(table: PoolState, grant: SlotGrant): void {
		if (!table.grants.delete(grant.id)) return
		adjustCount(table.runningByTeam, grant.team, -1)
		adjustCount(table.runningByServer, grant.server, -1)
		if (!this.probeGrants.delete(grant.id)) return
		this.ejection.recordEnd(grant.server, { result: 'neutral', probe: true })
	}

	private getPoolState(pool: PoolId): PoolState {
		const known = this.pools.get(pool)
		if (known) return known
		const table: PoolState = {
			pendingDemands: new Map(),
			grants: new Map(),
			runningByTeam: new Map(),
			runningByServer: new Map(),
			urgentStreaks: new Map(),
			fairShares: new FairShareTracker(),
		}
		this.pools.set(pool, table)
		return table
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
