import type { BackendTable, FleetConfiguration, JobTable, TimerService } from '@mastichead/core'
import type { EventLog } from '../../logs/EventLog.js'
import type { BackendServerClient } from '../../ports/BackendServerClient.js'
import type { JobMetrics } from '../../metrics/JobMetrics.js'

/**
 * Dependencies and state shared by the components of one owner term.
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
	/** Fencing token of this term, checked by the log and by backend servers. */
	readonly token: number
	/** Returns the milliseconds since 1970. */
	readonly getWallTime: () => number
	/** Returns the newest configuration. */
	readonly getConfiguration: () => FleetConfiguration
	/** Availability zones that are being evacuated. */
	readonly evacuatedZones: ReadonlySet<string>
	/**
	 * Whether the term may still send orders: true while no other owner may rely on its leases to
	 * expire. Checked before each order. Ends the term if it returns false.
	 */
	readonly mayAct: () => boolean
	/** Whether an order for a machine may be sent: true while no other instance can be the owner. */
	readonly mayOrderMachines: () => boolean
	/** Ends the term because another owner has taken over or may have. */
	readonly endTerm: (reason: string) => void
	/** Ends the term after an unexpected error, so that it stops neither the process nor its other work. */
	readonly fail: (error: unknown) => void
}
