import type { BackendServerId } from '@mastichead/core'
import type { ServerLoad, TeamLoad } from '@mastichead/protocol'
import type { KeyReport } from '../keys/KeyReport.js'

/**
 * Supplies the contents of the digests that this daemon sends to its peers.
 *
 * @public
 */
export abstract class DigestSource {
	/** Returns the load of every team. */
	abstract getTeamLoads(): readonly TeamLoad[]
	/** Returns the load of each backend server that this daemon uses. */
	abstract getServerLoads(): readonly ServerLoad[]
	/** Returns the draining backend servers on which this daemon runs no request. */
	abstract getDrainedServers(): readonly BackendServerId[]
	abstract getKeyReport(): KeyReport
	abstract isLeaving(): boolean
}
