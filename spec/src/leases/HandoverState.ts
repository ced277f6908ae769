import type { LeaseState } from './LeaseState.js'

/** State of the hand-over model. */
export interface HandoverState {
	readonly leases: LeaseState
	/** Ticks for which the server has been lost. */
	readonly lostTicks: number
}
