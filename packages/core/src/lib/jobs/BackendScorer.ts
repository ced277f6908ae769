import type { BackendRow } from './BackendRow.js'
import type { ReadyStep } from './ReadyStep.js'

/**
 * Chooses the backend server for one task among those that can take it.
 *
 * @public
 */
export abstract class BackendScorer {
	/** Preference for a candidate; the highest is taken. */
	abstract getScore(run: ReadyStep, backend: BackendRow): number
}
