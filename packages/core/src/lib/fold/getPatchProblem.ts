import type { Fleet } from '../fleet/Fleet.js'
import type { FleetPatch } from '../fleet/FleetPatch.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Placement } from '../state/Placement.js'

function isInService({ health, activity }: Placement): boolean {
	return health === 'healthy' && activity.type === 'serving'
}

function getReferencedPools({ pool, activity }: Placement): readonly PoolId[] {
	if (activity.type === 'joining') return [pool, activity.from]
	if (activity.type === 'draining' && activity.reason === 'move') return [pool, activity.to]
	return [pool]
}

function getRemovalProblem(
	state: FleetState,
	removed: readonly BackendServerId[]
): string | undefined {
	for (const name of removed) {
		const activity = state.placements.get(name)?.activity
		if (!activity || activity.type === 'serving') continue
		if (activity.type === 'draining' && activity.reason === 'operator') continue
		return `backend server ${name} is under a move or a wave; finish or abort that first`
	}
	return undefined
}

/**
 * Checks that each pool keeps its minimum in service, because removing a backend server in service is
 * planned work.
 */
function getBudgetProblem(
	state: FleetState,
	fleet: Fleet,
	removed: ReadonlySet<BackendServerId>
): string | undefined {
	const remaining = new Map<PoolId, number>()
	const shrinkingPools = new Set<PoolId>()
	for (const [name, placement] of state.placements) {
		if (!isInService(placement)) continue
		if (removed.has(name)) shrinkingPools.add(placement.pool)
		else remaining.set(placement.pool, (remaining.get(placement.pool) ?? 0) + 1)
	}
	for (const pool of fleet.pools) {
		const remainingCount = remaining.get(pool.name) ?? 0
		if (!shrinkingPools.has(pool.name) || remainingCount >= pool.minimumAvailable) continue
		return `pool ${pool.name} would keep ${remainingCount} backend servers in service, below its minimum ${pool.minimumAvailable}`
	}
	return undefined
}

function getPoolProblem(
	state: FleetState,
	fleet: Fleet,
	removed: ReadonlySet<BackendServerId>
): string | undefined {
	const pools = new Set(fleet.pools.map((pool) => pool.name))
	for (const [name, placement] of state.placements) {
		if (removed.has(name)) continue
		for (const pool of getReferencedPools(placement)) {
			if (!pools.has(pool)) return `pool ${pool} still has backend server ${name}`
		}
	}
	return undefined
}

/**
 * Checks a patch against the current placements of the backend servers.
 *
 * @param fleet - the fleet after the patch
 * @returns why the patch cannot be applied, or undefined
 *
 * @internal
 */
export function getPatchProblem(
	state: FleetState,
	patch: FleetPatch,
	fleet: Fleet
): string | undefined {
	const putNames = new Set(patch.backendServers.put.map((server) => server.name))
	const removed = patch.backendServers.remove.filter((name) => !putNames.has(name))
	if (removed.length === 0 && patch.pools.remove.length === 0) return undefined
	const removedNames = new Set(removed)
	return (
		getRemovalProblem(state, removed) ??
		getBudgetProblem(state, fleet, removedNames) ??
		getPoolProblem(state, fleet, removedNames)
	)
}
