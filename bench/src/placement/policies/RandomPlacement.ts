import type { PlacementCandidate } from './PlacementCandidate.js'
import { PlacementPolicy } from './PlacementPolicy.js'

/**
 * Picks uniformly among the backend servers on which this entry instance itself has a slot left.
 * The baseline: it knows nothing of other entry instances.
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
