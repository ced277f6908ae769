import type { SoakFault } from './SoakFault.js'

/**
 * A fault at a set time of a soak.
 *
 * @public
 */
export interface PlannedFault {
	readonly kind: SoakFault
	/** Milliseconds since the start of the traffic. */
	readonly at: number
	/** Milliseconds until it ends. */
	readonly duration: number
	/** Selects the instance or backend server, modulo their number. */
	readonly target: number
	/** Whether it hits the owner instead, if it hits an instance. */
	readonly hitsOwner: boolean
}
