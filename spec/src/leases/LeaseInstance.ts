import type { LeaseOwner } from './LeaseOwner.js'
import type { LeaseReplica } from './LeaseReplica.js'

/** The process that runs on an instance. One that is killed or paused takes no more actions. */
export interface LeaseInstance {
	readonly replica: LeaseReplica
	/** The term that the process holds, which may have been replaced already. */
	readonly owner: LeaseOwner | undefined
}
