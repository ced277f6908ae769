import type { Urgency } from '../fleet/Urgency.js'
import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { TeamId } from '../ids/TeamId.js'
import { OutlierEjection } from '../placement/OutlierEjection.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import { ShareLedger } from './ShareLedger.js'
import type { SlotDemand } from './SlotDemand.js'
import type { SlotEnd } from './SlotEnd.js'
import type { SlotGrant } from './SlotGrant.js'
import type { SlotReport } from './SlotReport.js'

/** Time for which a backend server that refused a request gets no other one. */
const FULL_MILLISECONDS = 200

/** Urgent grants to a team in a row while its ordinary requests wait. */
const URGENT_GRANTS_IN_A_ROW = 7

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
	readonly getShare: (team: TeamId) => number
	readonly getZone: (instance: InstanceId) => AvailabilityZoneId | undefined
}

interface Wish {
	readonly instance: InstanceId
	readonly demand: SlotDemand
	readonly reportedAt: Milliseconds
	left: number
}

interface PoolTable {
	readonly wishes: Map<InstanceId, Wish[]>
	readonly grants: Map<string, SlotGrant>
	readonly running: Map<TeamId, number>
	readonly serverRunning: Map<BackendServerId, number>
	readonly urgentInARow: Map<TeamId, number>
	readonly ledger: ShareLedger
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
	private readonly pools = new Map<PoolId, PoolTable>()
	private readonly ejection: OutlierEjection
	private readonly probes = new Set<string>()
	/** Backend servers whose last request failed; they are used after the others. */
	private readonly failing = new Set<BackendServerId>()
	private readonly fullUntil = new Map<BackendServerId, Milliseconds>()
	private lastGrant = 0

	constructor(private readonly options: Options) {
		this.ejection = new OutlierEjection({ timers: options.timers })
	}

	/** Takes what an entry instance reports. */
	take(report: SlotReport): void {
		const table = this.getTable(report.pool)
		if (report.inUse) this.adopt(table, report.instance, report.inUse)
		for (const end of report.ends) this.end(table, end)
		const reportedAt = this.options.timers.now()
		const { instance } = report
		table.wishes.set(
			instance,
			report.demands.map((demand) => ({ instance, demand, reportedAt, left: demand.count }))
		)
	}

	/** Forgets an entry instance and its grants. */
	drop(instance: InstanceId): void {
		for (const table of this.pools.values()) {
			table.wishes.delete(instance)
			for (const grant of table.grants.values()) {
				if (grant.instance === instance) this.remove(table, grant)
			}
		}
	}

	/** Gives out the free slots of a pool. */
	grant(pool: PoolId): SlotGrant[] {
		const table = this.getTable(pool)
		const servers = this.options.getServers(pool)
		this.ejection.setPool(
			pool,
			servers.map((server) => server.name)
		)
		this.updateLedger(table, servers)
		const grants: SlotGrant[] = []
		for (let grant = this.grantOne(pool, table, servers); grant;) {
			grants.push(grant)
			grant = this.grantOne(pool, table, servers)
		}
		return grants
	}

	/** Requests of a team that hold slots of a pool. */
	getRunning(pool: PoolId, team: TeamId): number {
		return this.pools.get(pool)?.running.get(team) ?? 0
	}

	private grantOne(
		pool: PoolId,
		table: PoolTable,
		servers: readonly Server[]
	): SlotGrant | undefined {
		const wish = this.chooseWish(table)
		if (!wish) return undefined
		const server = this.chooseServer(table, servers, this.options.getZone(wish.instance))
		if (!server) return undefined
		const { team, urgency } = wish.demand
		const id = `${this.options.instance}/${++this.lastGrant}`
		const grant: SlotGrant = {
			id,
			instance: wish.instance,
			pool,
			server: server.name,
			team,
			urgency,
		}
		wish.left -= 1
		this.noteUrgency(table, team, urgency)
		this.add(table, grant)
		if (this.ejection.recordStart(server.name)) this.probes.add(id)
		return grant
	}

	private chooseWish(table: PoolTable): Wish | undefined {
		const wishes = [...table.wishes.values()].flat().filter((wish) => wish.left > 0)
		let best: Wish | undefined
		for (const wish of wishes) if (!best || this.isBefore(table, wish, best)) best = wish
		return best
	}

	private isBefore(table: PoolTable, a: Wish, b: Wish): boolean {
		const [deficitA, deficitB] = [this.getDeficit(table, a), this.getDeficit(table, b)]
		if (deficitA !== deficitB) return deficitA > deficitB
		if (a.demand.team !== b.demand.team) return a.demand.team < b.demand.team
		if (a.demand.urgency !== b.demand.urgency) {
			const inARow = table.urgentInARow.get(a.demand.team) ?? 0
			const first: Urgency = inARow >= URGENT_GRANTS_IN_A_ROW ? 'ordinary' : 'urgent'
			return a.demand.urgency === first
		}
		return getWaitingSince(a) < getWaitingSince(b)
	}

	private getDeficit(table: PoolTable, { demand }: Wish): number {
		return table.ledger.getDeficit(demand.team, table.running.get(demand.team) ?? 0)
	}

	private updateLedger(table: PoolTable, servers: readonly Server[]): void {
		const wished = new Map<TeamId, number>()
		for (const { demand, left } of [...table.wishes.values()].flat()) {
			wished.set(demand.team, (wished.get(demand.team) ?? 0) + left)
		}
		const teams = new Set([...wished.keys(), ...table.running.keys()])
		const uses = [...teams].map((team) => {
			const running = table.running.get(team) ?? 0
			const use = { running, wished: wished.get(team) ?? 0, weight: this.options.getShare(team) }
			return [team, use] as const
		})
		const capacity = servers.reduce((sum, server) => sum + server.slots, 0)
		table.ledger.update(this.options.timers.now(), capacity, new Map(uses))
	}

	private chooseServer(
		table: PoolTable,
		servers: readonly Server[],
		zone: AvailabilityZoneId | undefined
	): Server | undefined {
		const now = this.options.timers.now()
		const open = servers.filter(
			(server) =>
				(table.serverRunning.get(server.name) ?? 0) < server.slots &&
				(this.fullUntil.get(server.name) ?? 0) <= now &&
				this.ejection.isSelectable(server.name)
		)
		const good = open.filter((server) => !this.failing.has(server.name))
		const usable = good.length > 0 ? good : open
		const local = usable.filter((server) => server.availabilityZone === zone)
		const tier = local.length > 0 ? local : usable
		let best: Server | undefined
		let bestLoad = Infinity
		for (const server of tier) {
			const load = (table.serverRunning.get(server.name) ?? 0) / server.slots
			if (load >= bestLoad) continue
			best = server
			bestLoad = load
		}
		return best
	}

	private noteUrgency(table: PoolTable, team: TeamId, urgency: Urgency): void {
		const inARow = urgency === 'urgent' ? (table.urgentInARow.get(team) ?? 0) + 1 : 0
		table.urgentInARow.set(team, inARow)
	}

	private end(table: PoolTable, { grant: id, result }: SlotEnd): void {
		const grant = table.grants.get(id)
		if (!grant) return
		const probe = this.probes.delete(id)
		if (result === 'failure') this.failing.add(grant.server)
		if (result === 'success') this.failing.delete(grant.server)
		const isNeutral = result === 'unused' || result === 'full'
		this.ejection.recordEnd(grant.server, { result: isNeutral ? 'neutral' : result, probe })
		this.remove(table, grant)
		if (result === 'full') {
			this.fullUntil.set(grant.server, this.options.timers.now() + FULL_MILLISECONDS)
		}
	}

	/** Takes over the grants that an entry instance has in use, whoever gave them. */
	private adopt(table: PoolTable, instance: InstanceId, inUse: readonly SlotGrant[]): void {
		for (const grant of table.grants.values()) {
			if (grant.instance === instance) this.remove(table, grant)
		}
		for (const grant of inUse) this.add(table, grant)
	}

	private add(table: PoolTable, grant: SlotGrant): void {
		if (table.grants.has(grant.id)) return
		table.grants.set(grant.id, grant)
		change(table.running, grant.team, 1)
		change(table.serverRunning, grant.server, 1)
	}

	private remove(table: PoolTable, grant: SlotGrant): void {
		if (!table.grants.delete(grant.id)) return
		change(table.running, grant.team, -1)
		change(table.serverRunning, grant.server, -1)
		if (!this.probes.delete(grant.id)) return
		this.ejection.recordEnd(grant.server, { result: 'neutral', probe: true })
	}

	private getTable(pool: PoolId): PoolTable {
		const known = this.pools.get(pool)
		if (known) return known
		const table: PoolTable = {
			wishes: new Map(),
			grants: new Map(),
			running: new Map(),
			serverRunning: new Map(),
			urgentInARow: new Map(),
			ledger: new ShareLedger(),
		}
		this.pools.set(pool, table)
		return table
	}
}

function getWaitingSince(wish: Wish): Milliseconds {
	return wish.reportedAt - wish.demand.oldestAge
}

function change<Name>(counts: Map<Name, number>, name: Name, by: number): void {
	const count = (counts.get(name) ?? 0) + by
	if (count > 0) counts.set(name, count)
	else counts.delete(name)
}
