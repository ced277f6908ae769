import type { BackendId } from './BackendId.js'
import type { CrashSuspicion } from './health/CrashSuspicion.js'
import type { JobRow } from './JobRow.js'
import type { JobStep } from './JobStep.js'
import type { StartOrderState } from './StartOrderState.js'
import type { TaskId } from './TaskId.js'
import type { TaskPhase } from './TaskPhase.js'
import type { UnexplainedLoss } from './health/UnexplainedLoss.js'

/**
 * State of a task as the owner tracks it. Times are on the owner's monotonic clock, in milliseconds.
 *
 * @public
 */
export interface TaskRow {
	readonly id: TaskId
	readonly job: JobRow
	readonly step: JobStep
	readonly stepNumber: number
	readonly occurrence: number
	readonly index: number
	phase: TaskPhase
	/** Number of the latest attempt; 0 before the first. */
	attempt: number
	/** Number of attempts that ended as `failed`. */
	failures: number
	/**
	 * Number of crashes of backend servers under a run of the task that it may have caused, since it last
	 * ran for `STABLE_RUN_TIME`.
	 */
	crashes: number
	/** Whether it may have crashed a server since then, so that it is started apart from other jobs. */
	isSuspected: boolean
	/** Whether the server of the current attempt crashed, and the task may have caused that. */
	crashSuspicion: CrashSuspicion | undefined
	/** Latest loss that may have been a crash which the task caused; undefined once that is known. */
	unexplainedLoss: UnexplainedLoss | undefined
	/** Backend server of the latest run that ended as `failed`. */
	failedOn: BackendId | undefined
	/** Backend server of the current attempt; undefined unless the task is placed. */
	backend: BackendId | undefined
	/** Latest checkpoint to resume from; empty for none. */
	checkpoint: string
	orderState: StartOrderState
	/** Time at which `orderState` last changed. */
	orderStateChangedAt: number
	/**
	 * Time at which the start order of the current attempt was sent, or at which the record of an earlier
	 * owner's placement was read; Infinity before.
	 */
	startedAt: number
	/** Whether `startedAt` is when this owner sent the order, so that the end of the run shows its length. */
	isStartTimed: boolean
	/** Time of the latest request whose listing named the current attempt as running; -Infinity before. */
	listedAt: number
	/** Whether the current attempt is being stopped. */
	stopping: boolean
	/** Whether an order for the machine of the current attempt, which ends it, may be in flight. */
	interrupting: boolean
	/** Last reported progress, or share of full speed for a lasting task; 0 to 100. */
	percent: number
	/** Time since which a lasting task has run at full speed; undefined if it does not. */
	availableSince: number | undefined
	/** Earliest time at which the task may be placed again. */
	notBefore: number
}
