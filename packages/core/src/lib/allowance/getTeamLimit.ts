import type { TeamId } from '../ids/TeamId.js'
import type { FleetState } from '../state/FleetState.js'

/**
 * Upper limit of a team; 0 for one that the fleet document does not name.
 *
 * @public
 */
export function getTeamLimit(state: FleetState, team: TeamId): number {
	return state.teams.get(team)?.limit ?? 0
}
