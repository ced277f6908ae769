import type { BackendId } from './BackendId.js'
import type { Resources } from './Resources.js'
import type { TaskId } from './TaskId.js'
import type { TaskRow } from './TaskRow.js'

/**
 * Row of a backend server in the owner's tables.
 *
 * @public
 */
export interface BackendRow {
	readonly id: BackendId
	/** Machine that it runs on; empty if unknown. */
	machine: string
	service: string
	address: string
	zone: string
	labels: readonly string[]
	capacity: Resources
	/** Start of the server's process, in milliseconds since 1970; 0 until known. */
	incarnation: number
	/** In the registry and ready, as far as known. */
	registered: boolean
	draining: boolean
	/** Its list of runs was read under the owner's present token. */
	reconciled: boolean
	/** Calls to it succeed at present. */
	reachable: boolean
	/** No new tasks: it is being emptied for maintenance. */
	cordoned: boolean
	/** Set aside for its failures until this instant. */
	avoidedUntil: number
	/** Its clock less the owner's monotonic clock, in milliseconds. */
	clockOffset: number
	/** Instant by which every lease it can hold has run out. */
	leasesExpireBy: number
	/** Number of the latest end that was processed. */
	lastProcessedEnd: number
	/** Number of the latest end whose outcome is durable. */
	lastAcknowledgedEnd: number
	/** Instant since which nothing has been placed on it. */
	idleSince: number
	/** What its placed tasks use. */
	used: Resources
	readonly tasks: Map<TaskId, TaskRow>
}
