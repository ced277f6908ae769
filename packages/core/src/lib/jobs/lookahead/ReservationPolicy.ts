import type { BackendRow } from '../BackendRow.js'
import type { ReadyStep } from '../placement/ReadyStep.js'

/**
 * Holds room that will become free for steps that wait, while other tasks are placed.
 *
 * @public
 */
export abstract class ReservationPolicy {
	/** Forgets the reservations of the previous plan. */
	abstract reset(now: number): void

	/**
	 * Reserves room for the unplaced tasks of a step.
	 *
	 * @param backends - servers that the step may use
	 */
	abstract reserve(readyStep: ReadyStep, backends: readonly BackendRow[]): void

	/** Whether a task of a step may be placed on a server beside what is reserved there. */
	abstract allows(readyStep: ReadyStep, backend: BackendRow): boolean

	/** Takes a task of a step that was placed on a server into account. */
	abstract recordPlacement(readyStep: ReadyStep, backend: BackendRow): void
}
