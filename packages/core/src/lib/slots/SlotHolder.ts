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

/** Time after which an unused grant is returned to its owner. */
const UNUSED_GRANT_MILLISECONDS = 50

interface HeldGrant {
	readonly grant: SlotGrant
	readonly grantedAt: Milliseconds
	isInUse: boolean
}

interface PoolGrants {
	owner: InstanceId | undefined
	/** Whether no report was sent to the owner yet. */
	isNewOwner: boolean
	ends: SlotEnd[]
	readonly heldGrants: Map<string, HeldGrant>
}

/**
 * Holds the slots that owners granted to this entry instance, and creates the reports to the owners.
 *
 * @public
 */
export class SlotHolder {
	private readonly grantsByPool = new Map<PoolId, PoolGrants>()

	constructor(
		private readonly instance: InstanceId,
		private readonly timers: TimerService
	) {}

	/** Pools with an owner, slots or ended grants to report. */
	get pools(): Iterable<PoolId> {
		return this.grantsByPool.keys()
	}

	/** Sets the owner of the slots of a pool. The first report to a new owner lists the grants in use. */
	setOwner(pool: PoolId, owner: InstanceId | undefined): void {
		const poolGrants = this.getPoolGrants(pool)
		if (poolGrants.owner === owner) return
		poolGrants.owner = owner
		poolGrants.isNewOwner = true
		poolGrants.ends = []
		for (const [id, held] of poolGrants.heldGrants)
			if (!held.isInUse) poolGrants.heldGrants.delete(id)
	}

	getOwner(pool: PoolId): InstanceId | undefined {
		return this.grantsByPool.get(pool)?.owner
	}

	/** Adds a grant. Ignores a repeated grant, and one that does not come from the current owner. */
	addGrant(grant: SlotGrant, owner: InstanceId): void {
		const poolGrants = this.getPoolGrants(grant.pool)
		if (poolGrants.owner !== owner || poolGrants.heldGrants.has(grant.id)) return
		poolGrants.heldGrants.set(grant.id, { grant, grantedAt: this.timers.now(), isInUse: false })
	}

	/**
	 * Reserves a slot for a request of a team.
	 *
	 * @returns the backend server of the slot, or undefined if no slot is free
	 */
	reserve(
		pool: PoolId,
		team: TeamId,
		excluded: ReadonlySet<BackendServerId> = new Set()
	): BackendServerId | undefined {
		for (const held of this.getHeldGrants(pool)) {
			if (held.isInUse || held.grant.team !== team || excluded.has(held.grant.server)) continue
			held.isInUse = true
			return held.grant.server
		}
		return undefined
	}

	/**
	 * Ends the use of a slot.
	 *
	 * @returns false if no grant in use matches
	 */
	end(
		use: { readonly pool: PoolId; readonly team: TeamId; readonly server: BackendServerId },
		result: SlotEnd['result']
	): boolean {
		for (const held of this.getHeldGrants(use.pool)) {
			const { grant } = held
			if (!held.isInUse || grant.team !== use.team || grant.server !== use.server) continue
			this.removeGrant(grant, result)
			return true
		}
		return false
	}

	/** Returns the grants that no request has used in time. */
	returnUnusedGrants(): void {
		const expiryThreshold = this.timers.now() - UNUSED_GRANT_MILLISECONDS
		for (const poolGrants of this.grantsByPool.values()) {
			for (const held of poolGrants.heldGrants.values()) {
				if (!held.isInUse && held.grantedAt <= expiryThreshold)
					this.removeGrant(held.grant, 'unused')
			}
		}
	}

	/** Counts the slots of a pool that are held for a team and not in use. */
	countUnused(pool: PoolId, team: TeamId): number {
		let unused = 0
		for (const held of this.getHeldGrants(pool)) {
			if (!held.isInUse && held.grant.team === team) unused += 1
		}
		return unused
	}

	/** Whether grants of a pool have ended since the last report. */
	hasEnds(pool: PoolId): boolean {
		return (this.grantsByPool.get(pool)?.ends.length ?? 0) > 0
	}

	/** Creates the next report to the owner of a pool. */
	createReport(pool: PoolId, demands: readonly SlotDemand[]): SlotReport {
		const poolGrants = this.getPoolGrants(pool)
		const { ends } = poolGrants
		const inUse = poolGrants.isNewOwner ? this.getGrantsInUse(poolGrants) : undefined
		poolGrants.ends = []
		poolGrants.isNewOwner = false
		return { instance: this.instance, pool, demands, ends, inUse }
	}

	private getGrantsInUse(poolGrants: PoolGrants): SlotGrant[] {
		return [...poolGrants.heldGrants.values()]
			.filter((held) => held.isInUse)
			.map((held) => held.grant)
	}

	private removeGrant(grant: SlotGrant, result: SlotEnd['result']): void {
		const poolGrants = this.getPoolGrants(grant.pool)
		poolGrants.heldGrants.delete(grant.id)
		poolGrants.ends.push({ grant: grant.id, result })
	}

	private getHeldGrants(pool: PoolId): Iterable<HeldGrant> {
		return this.grantsByPool.get(pool)?.heldGrants.values() ?? []
	}

	private getPoolGrants(pool: PoolId): PoolGrants {
		const existing = this.grantsByPool.get(pool)
		if (existing) return existing
		const poolGrants: PoolGrants = {
			owner: undefined,
			isNewOwner: true,
			ends: [],
			heldGrants: new Map(),
		}
		this.grantsByPool.set(pool, poolGrants)
		return poolGrants
	}
}
