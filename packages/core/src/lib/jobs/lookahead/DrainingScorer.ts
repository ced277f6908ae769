import type { BackendRow } from '../BackendRow.js'
import { BinPackingScorer } from '../placement/BinPackingScorer.js'
import type { ReadyStep } from '../placement/ReadyStep.js'

/** Penalty for a task whose whole run keeps a server busy that would else be idle; outweighs how full servers are. */
const OVERHANG_PENALTY = 2

/**
 * Packs like `BinPackingScorer`, and prefers servers that are busy for as long as the task runs, so that
 * the others fall idle together with their tasks.
 *
 * @public
 */
export class DrainingScorer extends BinPackingScorer {
	override getScore(readyStep: ReadyStep, backend: BackendRow, overhang = 0): number {
		return super.getScore(readyStep, backend) - OVERHANG_PENALTY * overhang
	}
}
