import type { TeamId } from '../ids/TeamId.js'
import type { PeerLoad } from './PeerLoad.js'

/**
 * What a member knows of one team when it plans its allowance. Counts are units.
 *
 * @public
 */
export interface TeamSituation {
	readonly team: TeamId
	readonly limit: number
	/** Sum of all allowances in the ledger. */
	readonly total: number
	/** The member's part of an even split of the limit. */
	readonly evenShare: number
	/** The member's allowance in the ledger. */
	readonly granted: number
	/** Own allowance that is not in use and not on loan. */
	readonly free: number
	/** What may run now, on loans too. */
	readonly capacity: number
	readonly running: number
	readonly queued: number
	/** Recent peak of running and queued work, decaying. */
	readonly peak: number
	/** Units that other members asked for lately and did not get. */
	readonly reserved: number
	/** Whether it is this member's turn on a limit smaller than the number of members in need. */
	readonly isNext: boolean
	readonly peers: readonly PeerLoad[]
}
