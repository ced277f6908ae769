import type { BackendRow } from './BackendRow.js'
import type { StepRun } from './StepRun.js'

/**
 * Chooses the backend server for one task among those that can take it.
 *
 * @public
 */
export abstract class BackendChoice {
	/** Preference for a candidate; the highest is taken. */
	abstract getScore(run: StepRun, backend: BackendRow): number
}
