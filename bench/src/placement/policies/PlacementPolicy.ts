import type { BackendServerId } from '@mastichead/core'
import { getFreeSlots } from './getFreeSlots.js'
import type { PlacementCandidate } from './PlacementCandidate.js'
import type { PlacementRequest } from './PlacementRequest.js'

/**
 * Picks the backend server for a request. Prefers the availability zone of the entry instance and
 * spills to other zones when no backend server there has a free slot.
 *
 * @internal
 */
export abstract class PlacementPolicy {
	/** Name in settings and tables. */
	abstract readonly name: string

	/** @param random - uniform in [0, 1) */
	constructor(protected readonly random: () => number) {}

	/** Returns undefined if no candidate seems to have a free slot. The request then waits. */
	choose(request: PlacementRequest): BackendServerId | undefined {
		const eligible = request.candidates.filter(
			(candidate) =>
				!request.excluded.has(candidate.name) &&
				candidate.freeConnections > 0 &&
				this.hasFreeSlot(candidate)
		)
		const local = eligible.filter(
			(candidate) => candidate.availabilityZone === request.availabilityZone
		)
		const preferred = local.length > 0 ? local : eligible
		if (preferred.length === 0) return undefined
		return this.pick(preferred, request).name
	}

	/** Whether the candidate has a free slot, as far as the policy knows. */
	protected hasFreeSlot(candidate: PlacementCandidate): boolean {
		return getFreeSlots(candidate) > 0
	}

	/** Picks one of `candidates`, which is never empty. */
	protected abstract pick(
		candidates: readonly PlacementCandidate[],
		request: PlacementRequest
	): PlacementCandidate

	/** Picks one of `candidates` uniformly at random. */
	protected pickRandom(candidates: readonly PlacementCandidate[]): PlacementCandidate {
		const candidate = candidates[Math.floor(this.random() * candidates.length)] ?? candidates[0]
		if (!candidate) throw new Error('cannot pick from an empty list of candidates')
		return candidate
	}
}
