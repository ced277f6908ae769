import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Wave } from '../state/Wave.js'

/**
 * Checks whether the order of zones allows a wave to drain a backend server. Availability zones are
 * failure domains: within a pool, a wave goes through one zone after another, and starts a zone only
 * once no backend server in service is left waiting in the zones in progress.
 *
 * @returns why the wave may not drain it yet, or undefined
 * @public
 */
export function checkZoneOrder(
	state: FleetState,
	wave: Wave,
	backendServer: BackendServerId
): string | undefined {
	const placement = state.placements.get(backendServer)
	const zone = state.backendServers.get(backendServer)?.availabilityZone
	if (!placement) return undefined
	const startedZones = new Set<string>()
	const waitingZones = new Set<string>()
	for (const [other, step] of wave.steps) {
		const otherZone = getZoneInPool(state, other, placement.pool)
		if (otherZone === undefined || otherZone === zone) continue
		if (step === 'draining' || step === 'maintenance') startedZones.add(otherZone)
		if (step === 'waiting' && isInService(state, other)) waitingZones.add(otherZone)
	}
	for (const otherZone of startedZones) {
		if (waitingZones.has(otherZone))
			return `the wave is not through with availability zone ${otherZone}`
	}
	return undefined
}

function getZoneInPool(
	state: FleetState,
	backendServer: BackendServerId,
	pool: PoolId
): string | undefined {
	if (state.placements.get(backendServer)?.pool !== pool) return undefined
	return state.backendServers.get(backendServer)?.availabilityZone
}

function isInService(state: FleetState, backendServer: BackendServerId): boolean {
	const placement = state.placements.get(backendServer)
	return placement?.activity.type === 'serving' && placement.health === 'healthy'
}
