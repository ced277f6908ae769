import type { TeamId } from '../ids/TeamId.js'
import type { FleetState } from '../state/FleetState.js'

/**
 * Returns the limit of a team, in units; 0 for a team that the fleet document does not name.
 *
 * @public
 */
export function getTeamLimit(state: FleetState, team: TeamId): number {
	return state.teams.get(team)?.limit ?? 0
}
