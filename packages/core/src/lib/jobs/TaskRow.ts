import type { BackendId } from './BackendId.js'
import type { JobRow } from './JobRow.js'
import type { JobStep } from './JobStep.js'
import type { StartOrderState } from './StartOrderState.js'
import type { TaskId } from './TaskId.js'
import type { TaskPhase } from './TaskPhase.js'

/**
 * Row of a task in the owner's tables.
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
	/** Attempts that ended `failed`. */
	failures: number
	/** Backend server on which the latest run that ended `failed` was. */
	failedOn: BackendId | undefined
	/** Backend server of the latest attempt while the task is placed. */
	backend: BackendId | undefined
	/** Latest checkpoint; empty for none. */
	checkpoint: string
	orderState: StartOrderState
	/** Instant at which `order` last changed, on the owner's monotonic clock. */
	orderStateChangedAt: number
	/** A stop was asked for. */
	stopping: boolean
	/** Progress, or share of full speed, last reported; 0 to 100. */
	percent: number
	/** Instant since which the task has been fully at work; undefined while it is not. */
	availableSince: number | undefined
	/** Instant before which the task is not placed again. */
	notBefore: number
}
