import type { TeamId } from '../ids/TeamId.js'
import type { PeerLoad } from './PeerLoad.js'

/**
 * Input for planning a member's allowance of one team. Amounts are in units.
 *
 * @public
 */
export interface TeamSituation {
	readonly team: TeamId
	readonly limit: number
	/** Sum of the allowances of all members in the folded state. */
	readonly total: number
	/** The member's share when the limit is split evenly. */
	readonly evenShare: number
	/** The member's allowance in the folded state. */
	readonly granted: number
	/** Units of the own allowance that are neither in use nor lent out. */
	readonly free: number
	/** Units that may be in use now, including borrowed ones. */
	readonly capacity: number
	/** Requests that run at the member. */
	readonly running: number
	/** Requests that wait at the member. */
	readonly queued: number
	/** Recent peak of running and queued requests, which decays. */
	readonly peak: number
	/** Units that other members recently requested from this one and did not get. */
	readonly reserved: number
	/** Whether it is this member's turn when the limit is below the number of members with demand. */
	readonly isNextInTurn: boolean
	/** Loads of the team at the other members. */
	readonly peers: readonly PeerLoad[]
}
