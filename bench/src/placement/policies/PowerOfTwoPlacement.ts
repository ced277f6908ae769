import { getFreeSlots } from './getFreeSlots.js'
import type { PlacementCandidate } from './PlacementCandidate.js'
import { PlacementPolicy } from './PlacementPolicy.js'

/**
 * Draws two backend servers at random and picks the one with more free slots, counting requests of
 * this entry instance and the digests of its peers. The random draw prevents entry instances with
 * the same stale digests from all picking the same server.
 *
 * @internal
 */
export class PowerOfTwoPlacement extends PlacementPolicy {
	override readonly name = 'power-of-two'

	protected override pick(candidates: readonly PlacementCandidate[]): PlacementCandidate {
		const first = this.pickRandom(candidates)
		if (candidates.length === 1) return first
		const second = this.pickRandom(candidates.filter((candidate) => candidate !== first))
		return getFreeSlots(second) > getFreeSlots(first) ? second : first
	}
}
