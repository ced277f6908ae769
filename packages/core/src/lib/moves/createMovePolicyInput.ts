import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { AvailabilityLedger } from '../waves/AvailabilityLedger.js'
import type { MovePolicyInput } from './MovePolicyInput.js'
import type { PoolDemand } from './PoolDemand.js'

/** Backend servers that a pool keeps above its minimum, so that its servers can be maintained. */
const MAINTENANCE_RESERVE = 1

/**
 * Creates the input of a move policy from the fleet state and the demand.
 *
 * @param demands - demand by pool; pools without an entry are skipped
 * @param now - time on the proposer's monotonic clock
 * @public
 */
export function createMovePolicyInput(
	state: FleetState,
	ledger: AvailabilityLedger,
	demands: ReadonlyMap<PoolId, PoolDemand>,
	now: Milliseconds
): MovePolicyInput {
	const arriving = countArriving(state)
	const meanSlots = getMeanSlots(state)
	const pools = [...state.pools.values()].flatMap((pool) => {
		const demand = demands.get(pool.name)
		if (!demand) return []
		const { available, unavailable } = ledger.getAvailability(pool.name)
		const movable = Math.min(
			available - pool.minimumAvailable - MAINTENANCE_RESERVE,
			pool.maximumUnavailable - unavailable
		)
		return {
			pool: pool.name,
			spare: pool.spare,
			available,
			arriving: arriving.get(pool.name) ?? 0,
			movable: Math.max(0, movable),
			slotsPerServer: meanSlots.get(pool.name) ?? meanSlots.get(undefined) ?? 1,
			demand,
		}
	})
	return { now, pools }
}

/** Counts the backend servers that are moving into each pool. */
function countArriving(state: FleetState): ReadonlyMap<PoolId, number> {
	const arriving = new Map<PoolId, number>()
	for (const { pool, activity } of state.placements.values()) {
		let to: PoolId | undefined
		if (activity.type === 'joining') to = pool
		if (activity.type === 'draining' && activity.reason === 'move') to = activity.to
		if (to !== undefined) arriving.set(to, (arriving.get(to) ?? 0) + 1)
	}
	return arriving
}

/** Returns the mean slots of a backend server by pool, and of the whole fleet under `undefined`. */
function getMeanSlots(state: FleetState): ReadonlyMap<PoolId | undefined, number> {
	const sums = new Map<PoolId | undefined, { slots: number; count: number }>()
	for (const { name, slots } of state.backendServers.values()) {
		for (const key of [state.placements.get(name)?.pool, undefined]) {
			const sum = sums.get(key) ?? { slots: 0, count: 0 }
			sums.set(key, { slots: sum.slots + slots, count: sum.count + 1 })
		}
	}
	return new Map([...sums].map(([pool, { slots, count }]) => [pool, slots / count]))
}
