import type { PlacementCandidate } from './PlacementCandidate.js'
import { PlacementPolicy } from './PlacementPolicy.js'

/**
 * Picks uniformly among the backend servers with a free slot, counting only the requests of this
 * entry instance. Serves as the baseline.
 *
 * @internal
 */
export class RandomPlacement extends PlacementPolicy {
	override readonly name = 'random'

	protected override hasFreeSlot(candidate: PlacementCandidate): boolean {
		return candidate.running < candidate.slots
	}

	protected override pick(candidates: readonly PlacementCandidate[]): PlacementCandidate {
		return this.pickRandom(candidates)
	}
}
