import type { BackendId } from './BackendId.js'
import type { ContactLoss } from './health/ContactLoss.js'
import type { Resources } from './Resources.js'
import type { TaskId } from './TaskId.js'
import type { TaskRow } from './TaskRow.js'
import type { UnreadRun } from './UnreadRun.js'

/**
 * State of a backend server as the owner tracks it. Times are on the owner's monotonic clock, in
 * milliseconds, unless stated otherwise.
 *
 * @public
 */
export interface BackendRow {
	readonly id: BackendId
	/** Id of the machine that it runs on; empty if unknown. */
	machine: string
	service: string
	/** `IP:PORT`; empty until known. */
	address: string
	zone: string
	labels: readonly string[]
	capacity: Resources
	/** Start of the server's process, in milliseconds since 1970; 0 until known. */
	incarnation: number
	/** Whether the registry lists it as ready. */
	registered: boolean
	draining: boolean
	/** Whether its runs have been listed under the owner's current fencing token. */
	reconciled: boolean
	/** Whether calls to it currently succeed. */
	reachable: boolean
	/** How calls to it began to fail; undefined while they succeed, and before the first call of a term. */
	contactLoss: ContactLoss | undefined
	/** Whether it takes no new tasks because its machine is being drained for maintenance or a move. */
	cordoned: boolean
	/** Whether its availability zone is being evacuated, so that it takes no new tasks. */
	evacuated: boolean
	/** How much longer it runs tasks slowly, by its latest registration, in milliseconds. */
	warmupLeft: number
	/** Time until which it gets no new tasks after failures. */
	avoidedUntil: number
	/** Its clock minus the owner's monotonic clock, in milliseconds. */
	clockOffset: number
	/** Time at which its clock was read. */
	clockReadAt: number
	/** Time by which every lease that this owner has requested has expired. */
	leasesExpireBy: number
	/** Number of the latest end of a run that was processed. */
	lastProcessedEnd: number
	/** Number of the latest end of a run whose outcome is durable. */
	lastAcknowledgedEnd: number
	/** Whether its latest listing names runs or ends of jobs that may not have been read yet. */
	listsUnreadRuns: boolean
	/** Time since which no task has been placed on it. */
	idleSince: number
	/** Resources reserved by its placed tasks. */
	used: Resources
	/**
	 * Resources of the runs that its latest listing names and that no task is placed for; unlimited if one of
	 * them is not known.
	 */
	unexpected: Resources
	readonly tasks: Map<TaskId, TaskRow>
	/** Recorded runs of jobs that have not been read, by `getUnreadRunKey`. */
	readonly unreadRuns: Map<string, UnreadRun>
}
