import type { TeamId } from '../ids/TeamId.js'
import type { FleetState } from '../state/FleetState.js'
import { getAllowanceTotal } from './getAllowanceTotal.js'
import { getTeamLimit } from './getTeamLimit.js'

/**
 * Whether the members together hold no more than the limit of a team. After the limit is lowered,
 * this is false until they have released the excess.
 *
 * @public
 */
export function isTeamWithinLimit(state: FleetState, team: TeamId): boolean {
	return getAllowanceTotal(state, team) <= getTeamLimit(state, team)
}
