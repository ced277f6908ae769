import type { TeamId } from '../ids/TeamId.js'
import type { PoolLoadStatus } from './PoolLoadStatus.js'

/**
 * Requests and allowance of one team at one daemon.
 *
 * @public
 */
export interface TeamLoadStatus {
	readonly team: TeamId
	readonly running: number
	readonly queued: number
	/** Allowance that the daemon may use now, loans included; only a daemon itself knows it. */
	readonly usable?: number | undefined
	readonly pools: readonly PoolLoadStatus[]
}
