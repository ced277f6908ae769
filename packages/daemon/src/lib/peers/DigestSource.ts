import type { BackendServerId } from '@mastichead/core'
import type { ServerLoad, TeamLoad } from '@mastichead/protocol'
import type { KeyKnowledge } from '../keys/KeyKnowledge.js'

/**
 * What this daemon tells its peers about itself.
 *
 * @public
 */
export abstract class DigestSource {
	/** Loads of every team. */
	abstract getTeams(): readonly TeamLoad[]
	/** Loads of the backend servers that this daemon uses. */
	abstract getServers(): readonly ServerLoad[]
	/** Draining backend servers at which this daemon runs nothing. */
	abstract getDrained(): readonly BackendServerId[]
	abstract getKeyKnowledge(): KeyKnowledge
	abstract isLeaving(): boolean
}
