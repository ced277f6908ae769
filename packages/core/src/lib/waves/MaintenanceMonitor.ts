import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { MaintenanceProgress } from './MaintenanceProgress.js'

/**
 * What the proposer of a step has observed of backend servers, beyond the state in the log.
 *
 * @public
 */
export abstract class MaintenanceMonitor {
	/** Whether no request of any daemon still runs at a draining backend server. */
	abstract isDrained(backendServer: BackendServerId): boolean

	/** Whether a backend server that returns to service passes the proposer's own health check. */
	abstract isReady(backendServer: BackendServerId): boolean

	/** Returns the number of requests that are known to run at a backend server. */
	abstract countRunning(backendServer: BackendServerId): number

	/** Returns the progress of the maintenance of a backend server, as the platform reports it. */
	abstract getProgress(wave: WaveId, backendServer: BackendServerId): MaintenanceProgress
}
