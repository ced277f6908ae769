import type { FleetConfiguration, TimerService } from '@mastichead/core'
import type { JobReplica } from '../../log/JobReplica.js'
import type { StreamFollower } from '../../log/StreamFollower.js'
import type { EventLog } from '../../logs/EventLog.js'
import type { JobMetrics } from '../../metrics/JobMetrics.js'
import type { BackendServerClient } from '../../ports/BackendServerClient.js'
import type { MachineController } from '../../ports/MachineController.js'
import type { MaintenanceWave } from '../../ports/MaintenanceWave.js'
import type { MetadataLog } from '../../ports/MetadataLog.js'
import type { OperatorFormat } from '../../ports/OperatorFormat.js'

/**
 * Dependencies of one term of ownership.
 *
 * @internal
 */
export interface OwnerTermOptions {
	readonly token: number
	/** Name of this instance, also of its next process. */
	readonly instance: string
	readonly log: MetadataLog
	readonly backendClient: BackendServerClient
	readonly format: OperatorFormat
	readonly machineController: MachineController
	/** Orders for machines that the platform accepts in a second; undefined for no limit. */
	readonly machineOrdersPerSecond: number | undefined
	readonly getWaves: () => ReadonlyMap<string, MaintenanceWave>
	/** Availability zones that are being evacuated. */
	readonly evacuatedZones: ReadonlySet<string>
	/** Calls `listener` whenever `evacuatedZones` has changed, until cancelled. */
	readonly subscribeEvacuations: (listener: () => void) => { cancel(): void }
	readonly timers: TimerService
	readonly events: EventLog
	readonly metrics: JobMetrics
	readonly replica: JobReplica
	readonly intake: readonly StreamFollower[]
	readonly progress: StreamFollower
	readonly getWallTime: () => number
	readonly getConfiguration: () => FleetConfiguration
	/** Returns how long the state of a finished job can be queried, in milliseconds. */
	readonly getStatusRetention: () => number
	/** Whether no other owner may rely on this term's leases to expire yet. */
	readonly isCurrent: () => boolean
	/** Whether this instance is still a member of the group, so that it must be the owner. */
	readonly isMember: () => boolean
	/** Called once if the term ends itself. */
	readonly onEnd: (reason: string) => void
}
