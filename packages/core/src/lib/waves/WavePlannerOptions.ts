import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Options of {@link WavePlanner}.
 *
 * @public
 */
export interface WavePlannerOptions {
	/** Time after which maintenance that has not finished counts as failed; by default one hour. */
	readonly maintenanceTimeout?: Milliseconds | undefined
}
