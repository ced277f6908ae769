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
 * The fleet as one daemon knows it. Counts cover the daemons that are reachable from it.
 *
 * @public
 */
export interface StatusReport {
	/** The daemon that answers. */
	readonly instance: InstanceId
	readonly fleet: string
	readonly version: number
	readonly offset: number
	readonly zones: readonly ZoneStatus[]
	readonly daemons: readonly DaemonStatus[]
	/** Daemons that the one that answers does not hear. */
	readonly unheard: readonly UnreachableDaemon[]
	readonly teams: readonly TeamStatus[]
	readonly pools: readonly PoolStatus[]
	/** Backend servers that are not in service. */
	readonly outOfService: readonly BackendServerStatus[]
	readonly moves: readonly MoveStatus[]
	readonly waves: readonly WaveStatus[]
}
