import type { TeamId } from '../ids/TeamId.js'
import type { FleetState } from '../state/FleetState.js'

/**
 * Returns the sum of the allowances that all members hold for a team.
 *
 * @public
 */
export function getAllowanceTotal(state: FleetState, team: TeamId): number {
	let total = 0
	for (const member of state.members.values()) total += member.allowances.get(team) ?? 0
	return total
}
