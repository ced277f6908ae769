import type { TeamId } from '../ids/TeamId.js'
import type { FleetState } from '../state/FleetState.js'
import { getAllowanceTotal } from './getAllowanceTotal.js'
import { getTeamLimit } from './getTeamLimit.js'

/**
 * Whether the upper limit of a team holds already. A lowered limit holds once the members have
 * released what they hold above it.
 *
 * @public
 */
export function isTeamWithinLimit(state: FleetState, team: TeamId): boolean {
	return getAllowanceTotal(state, team) <= getTeamLimit(state, team)
}
