import type { PlacementCandidate } from './PlacementCandidate.js'
import { PlacementPolicy } from './PlacementPolicy.js'

/**
 * Picks the backend server with the fewest running requests of this entry instance, ties at random.
 * Ignores the load of other entry instances.
 *
 * @internal
 */
export class LeastOutstandingPlacement extends PlacementPolicy {
	override readonly name = 'least-outstanding'

	protected override hasFreeSlot(candidate: PlacementCandidate): boolean {
		return candidate.running < candidate.slots
	}

	protected override pick(candidates: readonly PlacementCandidate[]): PlacementCandidate {
		const least = Math.min(...candidates.map((candidate) => candidate.running))
		return this.pickRandom(candidates.filter((candidate) => candidate.running === least))
	}
}
