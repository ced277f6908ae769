import type { BackendTable, FleetConfiguration, JobTable, TimerService } from '@mastichead/core'
import type { EventLog } from '../logs/EventLog.js'
import type { BackendServerClient } from '../ports/BackendServerClient.js'
import type { JobMetrics } from '../metrics/JobMetrics.js'

/**
 * What the parts of one term of ownership share.
 *
 * @public
 */
export interface OwnerContext {
	readonly jobs: JobTable
	readonly backends: BackendTable
	readonly backendClient: BackendServerClient
	readonly timers: TimerService
	readonly events: EventLog
	readonly metrics: JobMetrics
	/** Fencing token of this term, for the log and for backend servers. */
	readonly token: number
	/** Milliseconds since 1970. */
	readonly getWallTime: () => number
	/** Newest configuration. */
	readonly getConfiguration: () => FleetConfiguration
	/**
	 * Whether the term may still act: true while no other owner can count on the end of its leases.
	 * Asked before each order; ends the term when it is false.
	 */
	readonly mayAct: () => boolean
	/** Ends the term: another owner has taken over, or may have. */
	readonly endTerm: (reason: string) => void
}
