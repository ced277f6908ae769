import type { InstanceId } from '@mastichead/core'
import { getFreeSlots } from './getFreeSlots.js'
import { getRendezvousScore } from '@mastichead/core'
import type { PlacementCandidate } from './PlacementCandidate.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { PlacementRequest } from './PlacementRequest.js'

/**
 * Assigns each backend server to one entry instance of the zone by rendezvous hashing. An entry
 * instance prefers the backend servers that it owns, and otherwise picks the one with the most free
 * slots.
 *
 * @internal
 */
export class RendezvousPlacement extends PlacementPolicy {
	override readonly name = 'rendezvous'

	protected override pick(
		candidates: readonly PlacementCandidate[],
		request: PlacementRequest
	): PlacementCandidate {
		const owned = candidates.filter((candidate) => isOwner(candidate, request))
		if (owned.length > 0) return this.pickMostFree(owned)
		return this.pickMostFree(candidates)
	}

	private pickMostFree(candidates: readonly PlacementCandidate[]): PlacementCandidate {
		const most = Math.max(...candidates.map(getFreeSlots))
		return this.pickRandom(candidates.filter((candidate) => getFreeSlots(candidate) === most))
	}
}

function isOwner(candidate: PlacementCandidate, request: PlacementRequest): boolean {
	const score = (instance: InstanceId) => getRendezvousScore(candidate.name, instance)
	const own = score(request.instance)
	return request.zoneInstances.every((instance) => score(instance) <= own)
}
