import type { Resources } from '../Resources.js'
import type { TeamRules } from '../TeamRules.js'

/**
 * Whether a team that uses `used` would exceed its limit with `needs` in addition.
 *
 * @public
 */
export function exceedsTeamLimit(
	team: TeamRules | undefined,
	used: Resources,
	needs: Resources
): boolean {
	if (!team) return false
	const { limit } = team
	return (
		(limit.cpu > 0 && used.cpu + needs.cpu > limit.cpu) ||
		(limit.memory > 0 && used.memory + needs.memory > limit.memory) ||
		(limit.gpu > 0 && used.gpu + needs.gpu > limit.gpu)
	)
}
