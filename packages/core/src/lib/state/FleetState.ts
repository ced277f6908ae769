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
 * Everything that the log decides, as tables of readonly rows. Only the fold changes it.
 *
 * @public
 */
export interface FleetState {
	/** Offset of the last folded entry; -1 before the first. */
	offset: number
	/** Platform clock of the last folded entry. */
	at: Milliseconds
	/** Offset of the apply in force, plus one; 0 before the first. */
	version: number
	name: string
	availabilityZones: readonly AvailabilityZoneId[]
	readonly pools: Map<PoolId, Pool>
	readonly queues: Map<QueueId, Queue>
	readonly teams: Map<TeamId, Team>
	readonly backendServers: Map<BackendServerId, BackendServer>
	/** Where each backend server is now, and what is under way with it. */
	readonly placements: Map<BackendServerId, Placement>
	readonly keys: Map<KeyId, Key>
	readonly members: Map<InstanceId, Member>
	/** Longest run that can still be under way, by when it was last possible to start one. */
	runBounds: readonly RunBound[]
	readonly waves: Map<WaveId, Wave>
	/** Decisions on the most recent proposals, oldest first. */
	readonly decisions: Map<ProposalId, Decision>
}
