import type { InstanceId } from '../ids/InstanceId.js'
import type { BackendServerStatus } from './BackendServerStatus.js'
import type { DaemonStatus } from './DaemonStatus.js'
import type { MoveStatus } from './MoveStatus.js'
import type { PoolStatus } from './PoolStatus.js'
import type { TeamStatus } from './TeamStatus.js'
import type { UnreachableDaemon } from './UnreachableDaemon.js'
import type { WaveStatus } from './WaveStatus.js'
import type { ZoneStatus } from './ZoneStatus.js'

/**
 * Status of the fleet as one daemon sees it. Counts include only the daemons it can reach.
 *
 * @public
 */
export interface StatusReport {
	/** Daemon that created the report. */
	readonly instance: InstanceId
	readonly fleet: string
	readonly version: number
	readonly offset: number
	readonly zones: readonly ZoneStatus[]
	readonly daemons: readonly DaemonStatus[]
	/** Daemons without a recent digest at the reporting daemon. */
	readonly unheard: readonly UnreachableDaemon[]
	readonly teams: readonly TeamStatus[]
	readonly pools: readonly PoolStatus[]
	/** Backend servers out of service. */
	readonly outOfService: readonly BackendServerStatus[]
	readonly moves: readonly MoveStatus[]
	readonly waves: readonly WaveStatus[]
}
