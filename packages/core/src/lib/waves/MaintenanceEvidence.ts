import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { MaintenanceProgress } from './MaintenanceProgress.js'

/**
 * What a proposer knows of backend servers beyond the log.
 *
 * @public
 */
export abstract class MaintenanceEvidence {
	/** Whether nothing runs any more at a draining backend server, whichever daemon started it. */
	abstract isDrained(backendServer: BackendServerId): boolean

	/** Whether a backend server that comes back passes the proposer's own health check. */
	abstract isReady(backendServer: BackendServerId): boolean

	/** Requests that run at a backend server, as far as known. */
	abstract countRunning(backendServer: BackendServerId): number

	/** How far the platform is with a maintenance. */
	abstract getProgress(wave: WaveId, backendServer: BackendServerId): MaintenanceProgress
}
