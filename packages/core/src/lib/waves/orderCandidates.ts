import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Wave } from '../state/Wave.js'
import type { AvailabilityLedger } from './AvailabilityLedger.js'

interface PoolCandidates {
	readonly waitingByZone: Map<AvailabilityZoneId, BackendServerId[]>
	readonly startedZones: Set<AvailabilityZoneId>
	waitingCount: number
}

/**
 * Orders the backend servers that a wave may drain next, with one list for each pool. Pools with the
 * most rounds left come first. Within a pool, zones in progress come first; within a zone, backend
 * servers are ordered by rack.
 *
 * @internal
 */
export function orderCandidates(
	state: FleetState,
	ledger: AvailabilityLedger,
	wave: Wave
): readonly (readonly BackendServerId[])[] {
	const pools = groupByPool(state, ledger, wave)
	const getRoundsLeft = (pool: PoolId, { waitingCount }: PoolCandidates): number =>
		waitingCount / Math.max(1, state.pools.get(pool)?.maximumUnavailable ?? 1)
	return [...pools]
		.sort(
			([a, left], [b, right]) => getRoundsLeft(b, right) - getRoundsLeft(a, left) || compare(a, b)
		)
		.map(([, candidates]) => orderPool(state, candidates))
}

function groupByPool(
	state: FleetState,
	ledger: AvailabilityLedger,
	wave: Wave
): ReadonlyMap<PoolId, PoolCandidates> {
	const pools = new Map<PoolId, PoolCandidates>()
	for (const [backendServer, step] of wave.steps) {
		if (step === 'done' || step === 'failed' || step === 'skipped') continue
		const zone = state.backendServers.get(backendServer)?.availabilityZone
		const pool = state.placements.get(backendServer)?.pool
		if (zone === undefined || pool === undefined) continue
		const candidates = pools.get(pool) ?? createPoolCandidates()
		pools.set(pool, candidates)
		if (step === 'draining' || step === 'maintenance') candidates.startedZones.add(zone)
		if (step !== 'waiting' || !ledger.isAvailable(backendServer)) continue
		candidates.waitingCount += 1
		const names = candidates.waitingByZone.get(zone)
		if (names) names.push(backendServer)
		else candidates.waitingByZone.set(zone, [backendServer])
	}
	return pools
}

function createPoolCandidates(): PoolCandidates {
	return { waitingByZone: new Map(), startedZones: new Set(), waitingCount: 0 }
}

function orderPool(
	state: FleetState,
	{ waitingByZone, startedZones }: PoolCandidates
): readonly BackendServerId[] {
	const getRack = (name: BackendServerId): string => state.backendServers.get(name)?.rack ?? ''
	return [...waitingByZone]
		.sort(([a], [b]) => Number(startedZones.has(b)) - Number(startedZones.has(a)) || compare(a, b))
		.flatMap(([, names]) => names.sort((a, b) => compare(getRack(a), getRack(b)) || compare(a, b)))
}

function compare(a: string, b: string): number {
	if (a === b) return 0
	return a < b ? -1 : 1
}
