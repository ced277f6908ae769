import type { TeamId } from '../ids/TeamId.js'
import type { PoolLoadStatus } from './PoolLoadStatus.js'

/**
 * Load and allowance of one team at one daemon.
 *
 * @public
 */
export interface TeamLoadStatus {
	readonly team: TeamId
	readonly running: number
	readonly queued: number
	/** Allowance that the daemon may use now, loans included; digests do not include it. */
	readonly usable?: number | undefined
	readonly pools: readonly PoolLoadStatus[]
}
