import type { BackendRow } from '../BackendRow.js'
import type { ReadyStep } from './ReadyStep.js'

/**
 * Scores the backend servers that can host a task; the planner takes the highest score.
 *
 * @public
 */
export abstract class BackendScorer {
	/**
	 * Returns the score of a backend server for a task of the step.
	 *
	 * @param overhang - share of the task's run that lies after the end of all that the server runs now
	 */
	abstract getScore(readyStep: ReadyStep, backend: BackendRow, overhang?: number): number
}
