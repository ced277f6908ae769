import type { Urgency } from '../fleet/Urgency.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Requests of one team and urgency that could start at once at one entry instance.
 *
 * @public
 */
export interface SlotDemand {
	readonly team: TeamId
	readonly urgency: Urgency
	/** Requests without a slot. */
	readonly count: number
	/** How long the first of them has waited. */
	readonly oldestAge: Milliseconds
}
