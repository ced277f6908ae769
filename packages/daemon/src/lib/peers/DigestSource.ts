import type { BackendServerId } from '@mastichead/core'
import type { ServerLoad, TeamLoad } from '@mastichead/protocol'
import type { KeyReport } from '../keys/KeyReport.js'

/**
 * What this daemon tells its peers about itself.
 *
 * @public
 */
export abstract class DigestSource {
	/** Loads of every team. */
	abstract getTeamLoads(): readonly TeamLoad[]
	/** Loads of the backend servers that this daemon uses. */
	abstract getServerLoads(): readonly ServerLoad[]
	/** Draining backend servers at which this daemon runs nothing. */
	abstract getDrainedServers(): readonly BackendServerId[]
	abstract getKeyReport(): KeyReport
	abstract isLeaving(): boolean
}
