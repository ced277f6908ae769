import type { BackendServer } from '../fleet/BackendServer.js'
import type { Pool } from '../fleet/Pool.js'
import type { Queue } from '../fleet/Queue.js'
import type { Team } from '../fleet/Team.js'
import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { KeyId } from '../ids/KeyId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { QueueId } from '../ids/QueueId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { Decision } from './Decision.js'
import type { Key } from './Key.js'
import type { Member } from './Member.js'
import type { Placement } from './Placement.js'
import type { RunBound } from './RunBound.js'
import type { Wave } from './Wave.js'

/**
 * The state that results from the log, as tables of readonly rows. Only the fold changes it.
 *
 * @public
 */
export interface FleetState {
	/** Offset of the last applied entry; -1 before the first. */
	offset: number
	/** Platform clock of the last applied entry, in milliseconds. */
	at: Milliseconds
	/** Version of the fleet document: the offset of its apply entry plus one; 0 before the first. */
	version: number
	name: string
	availabilityZones: readonly AvailabilityZoneId[]
	readonly pools: Map<PoolId, Pool>
	readonly queues: Map<QueueId, Queue>
	readonly teams: Map<TeamId, Team>
	readonly backendServers: Map<BackendServerId, BackendServer>
	/** Current pool, health and activity of each backend server. */
	readonly placements: Map<BackendServerId, Placement>
	readonly keys: Map<KeyId, Key>
	readonly members: Map<InstanceId, Member>
	/** Longest runs of requests that may still be running, oldest document first, current one last. */
	runBounds: readonly RunBound[]
	readonly waves: Map<WaveId, Wave>
	/** Decisions on the latest proposals, oldest first. */
	readonly decisions: Map<ProposalId, Decision>
}
