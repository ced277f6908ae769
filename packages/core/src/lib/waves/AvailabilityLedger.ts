import { HealthView } from '../health/HealthView.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { PoolAvailability } from './PoolAvailability.js'

/**
 * Counts the backend servers of each pool that are in service, and checks whether one more may be
 * drained within the availability budget of its pool. A planner calls `markUnavailable` for each drain
 * that it plans, so that it proposes no more drains than the fold will accept.
 *
 * @public
 */
export class AvailabilityLedger {
	private readonly pools = new Map<PoolId, { available: number; unavailable: number }>()
	private readonly inService = new Set<BackendServerId>()
	readonly health: HealthView

	/** @param onlyPool - the only pool to count; by default all pools */
	constructor(
		private readonly state: FleetState,
		onlyPool?: PoolId
	) {
		this.health = new HealthView(state)
		for (const pool of state.pools.keys()) this.pools.set(pool, { available: 0, unavailable: 0 })
		for (const [backendServer, { pool: name, activity }] of state.placements) {
			if (onlyPool !== undefined && name !== onlyPool) continue
			const isServing = activity.type === 'serving'
			if (isServing && this.health.getHealth(backendServer) === 'healthy') {
				this.inService.add(backendServer)
			}
			const pool = this.pools.get(name)
			if (!pool) continue
			if (this.inService.has(backendServer)) pool.available += 1
			else pool.unavailable += 1
		}
	}

	/** Returns the counts of a pool; zeros for an unknown pool. */
	getAvailability(pool: PoolId): PoolAvailability {
		const { available, unavailable } = this.pools.get(pool) ?? { available: 0, unavailable: 0 }
		return { pool, available, unavailable }
	}

	/** Whether a backend server is in service: serving, healthy and not marked unavailable. */
	isAvailable(backendServer: BackendServerId): boolean {
		return this.inService.has(backendServer)
	}

	/** Checks whether the availability budget of a pool holds. Returns why it does not, or undefined. */
	checkBudget(pool: PoolId): string | undefined {
		return this.checkBudgetAfter(pool, 0)
	}

	/** Checks whether the budget would hold after a drain. Returns why it would not, or undefined. */
	checkDrain(backendServer: BackendServerId): string | undefined {
		const placement = this.state.placements.get(backendServer)
		if (!placement) return `unknown backend server ${backendServer}`
		return this.checkBudgetAfter(placement.pool, this.isAvailable(backendServer) ? 1 : 0)
	}

	/** Counts a backend server as out of service. */
	markUnavailable(backendServer: BackendServerId): void {
		const wasAvailable = this.inService.delete(backendServer)
		const placement = this.state.placements.get(backendServer)
		const pool = placement && this.pools.get(placement.pool)
		if (!pool || !wasAvailable) return
		pool.available -= 1
		pool.unavailable += 1
	}

	private checkBudgetAfter(pool: PoolId, drainCount: number): string | undefined {
		const poolSettings = this.state.pools.get(pool)
		if (!poolSettings) return `unknown pool ${pool}`
		const { available, unavailable } = this.getAvailability(pool)
		if (available - drainCount < poolSettings.minimumAvailable) {
			return `pool ${pool} would have ${available - drainCount} available, minimum ${poolSettings.minimumAvailable}`
		}
		if (unavailable + drainCount > poolSettings.maximumUnavailable) {
			return `pool ${pool} would have ${unavailable + drainCount} unavailable, maximum ${poolSettings.maximumUnavailable}`
		}
		return undefined
	}
}
