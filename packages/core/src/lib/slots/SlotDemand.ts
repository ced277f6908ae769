import type { Urgency } from '../fleet/Urgency.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Waiting requests of one team and urgency at one entry instance that could start now.
 *
 * @public
 */
export interface SlotDemand {
	readonly team: TeamId
	readonly urgency: Urgency
	/** Number of requests without a slot. */
	readonly count: number
	/** Time that the oldest of them has waited. */
	readonly oldestAge: Milliseconds
}
