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
const UNUSED_GRANT_LIFETIME = 50

interface HeldGrant {
	readonly grant: SlotGrant
	readonly grantedAt: Milliseconds
	isInUse: boolean
}

interface PoolGrants {
	owner: InstanceId | undefined
	isNewOwner: boolean
	ends: SlotEnd[]
	readonly heldGrants: Map<string, HeldGrant>
}

/**
 * The slots that owners gave to this entry instance, and what it has to report of them.
 *
 * @public
 */
export class SlotHolder {
	private readonly grantsByPool = new Map<PoolId, PoolGrants>()

	constructor(
		private readonly instance: InstanceId,
		private readonly timers: TimerService
	) {}

	/** Pools with slots, or with ends to report. */
	get pools(): Iterable<PoolId> {
		return this.grantsByPool.keys()
	}

	/** Names the owner of a pool's slots; a new one hears first of what is in use. */
	setOwner(pool: PoolId, owner: InstanceId | undefined): void {
		const table = this.getPoolGrants(pool)
		if (table.owner === owner) return
		table.owner = owner
		table.isNewOwner = true
		table.ends = []
		for (const [id, row] of table.heldGrants) if (!row.isInUse) table.heldGrants.delete(id)
	}

	getOwner(pool: PoolId): InstanceId | undefined {
		return this.grantsByPool.get(pool)?.owner
	}

	/** Takes a grant of the owner. One that does not come from it is passed over. */
	addGrant(grant: SlotGrant, owner: InstanceId): void {
		const table = this.getPoolGrants(grant.pool)
		if (table.owner !== owner || table.heldGrants.has(grant.id)) return
		table.heldGrants.set(grant.id, { grant, grantedAt: this.timers.now(), isInUse: false })
	}

	/** Uses a slot for a request of the team, at a backend server that is not excluded. */
	reserve(
		pool: PoolId,
		team: TeamId,
		excluded: ReadonlySet<BackendServerId> = new Set()
	): BackendServerId | undefined {
		for (const row of this.getHeldGrants(pool)) {
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
		for (const row of this.getHeldGrants(use.pool)) {
			const { grant } = row
			if (!row.isInUse || grant.team !== use.team || grant.server !== use.server) continue
			this.removeGrant(grant, result)
			return true
		}
		return false
	}

	/** Gives back grants that no request has used in time. */
	returnUnusedGrants(): void {
		const oldest = this.timers.now() - UNUSED_GRANT_LIFETIME
		for (const table of this.grantsByPool.values()) {
			for (const row of table.heldGrants.values()) {
				if (!row.isInUse && row.grantedAt <= oldest) this.removeGrant(row.grant, 'unused')
			}
		}
	}

	/** Slots of a pool that wait for a request of the team. */
	countUnused(pool: PoolId, team: TeamId): number {
		let unused = 0
		for (const row of this.getHeldGrants(pool)) {
			if (!row.isInUse && row.grant.team === team) unused += 1
		}
		return unused
	}

	/** Whether grants ended since the last report. */
	hasEnds(pool: PoolId): boolean {
		return (this.grantsByPool.get(pool)?.ends.length ?? 0) > 0
	}

	/** Makes the next report to the owner of a pool. */
	createReport(pool: PoolId, demands: readonly SlotDemand[]): SlotReport {
		const table = this.getPoolGrants(pool)
		const { ends } = table
		const inUse = table.isNewOwner ? this.getGrantsInUse(table) : undefined
		table.ends = []
		table.isNewOwner = false
		return { instance: this.instance, pool, demands, ends, inUse }
	}

	private getGrantsInUse(table: PoolGrants): SlotGrant[] {
		return [...table.heldGrants.values()].filter((row) => row.isInUse).map((row) => row.grant)
	}

	private removeGrant(grant: SlotGrant, result: SlotEnd['result']): void {
		const table = this.getPoolGrants(grant.pool)
		table.heldGrants.delete(grant.id)
		table.ends.push({ grant: grant.id, result })
	}

	private getHeldGrants(pool: PoolId): Iterable<HeldGrant> {
		return this.grantsByPool.get(pool)?.heldGrants.values() ?? []
	}

	private getPoolGrants(pool: PoolId): PoolGrants {
		const known = this.grantsByPool.get(pool)
		if (known) return known
		const table: PoolGrants = {
			owner: undefined,
			isNewOwner: true,
			ends: [],
			heldGrants: new Map(),
		}
		this.grantsByPool.set(pool, table)
		return table
	}
}
