import type { TeamId } from '../ids/TeamId.js'
import type { PoolLoad } from './PoolLoad.js'
import { SharePolicy } from './SharePolicy.js'

/**
 * Shares a pool fairly between the teams of this daemon only, ignoring the load at other daemons. Used
 * as a baseline.
 *
 * @public
 */
export class LocalSharePolicy extends SharePolicy {
	override readonly name = 'local'

	override rankTeams(load: PoolLoad): TeamId[] {
		return [...load.own.values()]
			.filter((row) => row.queued > 0)
			.map((row) => ({ team: row.team, level: row.running / (load.weights.get(row.team) ?? 1) }))
			.sort((a, b) => a.level - b.level)
			.map((row) => row.team)
	}
}
