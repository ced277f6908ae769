import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import type { SlotDemand } from './SlotDemand.js'
import type { SlotEnd } from './SlotEnd.js'
import type { SlotGrant } from './SlotGrant.js'
import type { SlotReport } from './SlotReport.js'

/** Time for which a grant is kept without a request that can use it. */
const UNUSED_MILLISECONDS = 50

interface Row {
	readonly grant: SlotGrant
	readonly grantedAt: Milliseconds
	isInUse: boolean
}

interface PoolTable {
	owner: InstanceId | undefined
	isNewOwner: boolean
	ends: SlotEnd[]
	readonly rows: Map<string, Row>
}

/**
 * The slots that owners gave to this entry instance, and what it has to report of them.
 *
 * @public
 */
export class SlotHolder {
	private readonly tables = new Map<PoolId, PoolTable>()

	constructor(
		private readonly instance: InstanceId,
		private readonly timers: TimerService
	) {}

	/** Pools with slots, or with ends to report. */
	get pools(): Iterable<PoolId> {
		return this.tables.keys()
	}

	/** Names the owner of a pool's slots; a new one hears first of what is in use. */
	setOwner(pool: PoolId, owner: InstanceId | undefined): void {
		const table = this.getTable(pool)
		if (table.owner === owner) return
		table.owner = owner
		table.isNewOwner = true
		table.ends = []
		for (const [id, row] of table.rows) if (!row.isInUse) table.rows.delete(id)
	}

	getOwner(pool: PoolId): InstanceId | undefined {
		return this.tables.get(pool)?.owner
	}

	/** Takes a grant of the owner. One that does not come from it is passed over. */
	take(grant: SlotGrant, owner: InstanceId): void {
		const table = this.getTable(grant.pool)
		if (table.owner !== owner || table.rows.has(grant.id)) return
		table.rows.set(grant.id, { grant, grantedAt: this.timers.now(), isInUse: false })
	}

	/** Uses a slot for a request of the team, at a backend server that is not excluded. */
	reserve(
		pool: PoolId,
		team: TeamId,
		excluded: ReadonlySet<BackendServerId> = new Set()
	): BackendServerId | undefined {
		for (const row of this.getRows(pool)) {
			if (row.isInUse || row.grant.team !== team || excluded.has(row.grant.server)) continue
			row.isInUse = true
			return row.grant.server
		}
		return undefined
	}

	/**
	 * Ends the use of a slot.
	 *
	 * @returns false when the slot was not given by an owner
	 */
	end(
		use: { readonly pool: PoolId; readonly team: TeamId; readonly server: BackendServerId },
		result: SlotEnd['result']
	): boolean {
		for (const row of this.getRows(use.pool)) {
			const { grant } = row
			if (!row.isInUse || grant.team !== use.team || grant.server !== use.server) continue
			this.remove(grant, result)
			return true
		}
		return false
	}

	/** Gives back grants that no request has used in time. */
	expire(): void {
		const oldest = this.timers.now() - UNUSED_MILLISECONDS
		for (const table of this.tables.values()) {
			for (const row of table.rows.values()) {
				if (!row.isInUse && row.grantedAt <= oldest) this.remove(row.grant, 'unused')
			}
		}
	}

	/** Slots of a pool that wait for a request of the team. */
	getUnused(pool: PoolId, team: TeamId): number {
		let unused = 0
		for (const row of this.getRows(pool)) {
			if (!row.isInUse && row.grant.team === team) unused += 1
		}
		return unused
	}

	/** Whether grants ended since the last report. */
	hasEnds(pool: PoolId): boolean {
		return (this.tables.get(pool)?.ends.length ?? 0) > 0
	}

	/** Makes the next report to the owner of a pool. */
	createReport(pool: PoolId, demands: readonly SlotDemand[]): SlotReport {
		const table = this.getTable(pool)
		const { ends } = table
		const inUse = table.isNewOwner ? this.getInUse(table) : undefined
		table.ends = []
		table.isNewOwner = false
		return { instance: this.instance, pool, demands, ends, inUse }
	}

	private getInUse(table: PoolTable): SlotGrant[] {
		return [...table.rows.values()].filter((row) => row.isInUse).map((row) => row.grant)
	}

	private remove(grant: SlotGrant, result: SlotEnd['result']): void {
		const table = this.getTable(grant.pool)
		table.rows.delete(grant.id)
		table.ends.push({ grant: grant.id, result })
	}

	private getRows(pool: PoolId): Iterable<Row> {
		return this.tables.get(pool)?.rows.values() ?? []
	}

	private getTable(pool: PoolId): PoolTable {
		const known = this.tables.get(pool)
		if (known) return known
		const table: PoolTable = { owner: undefined, isNewOwner: true, ends: [], rows: new Map() }
		this.tables.set(pool, table)
		return table
	}
}
