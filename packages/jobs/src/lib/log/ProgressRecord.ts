import type { BackendId, JobSnapshot, UnexplainedLoss } from '@mastichead/core'
import type { StepRecord } from './StepRecord.js'

/**
 * Progress of a job in the second form in which it is written to the log. Tasks are named by ranges
 * of their indices, such as `0-3,7`; what has its default value is left out.
 *
 * Instances that only know the first form, a `JobSnapshot`, find the state in this one and answer
 * callers with it. They find no list of tasks, which ends their process when they become the owner,
 * before they have started anything.
 *
 * @public
 */
export interface ProgressRecord extends Pick<JobSnapshot, 'state' | 'begun' | 'finishedAt'> {
	readonly format: 2
	readonly pending?: string
	readonly done?: string
	readonly failed?: string
	readonly dropped?: string
	/** Placed tasks by backend server. */
	readonly placed?: Readonly<Record<BackendId, string>>
	/** Steps with placed tasks, in the order of their first tasks; versions before did not record them. */
	readonly steps?: readonly StepRecord[]
	/** Team of the job, beside `steps`. */
	readonly team?: string
	/** Tasks by the number of their latest attempt; left out for the first attempt. */
	readonly attempts?: Readonly<Record<string, string>>
	/** Tasks by their number of failed attempts; left out for none. */
	readonly failures?: Readonly<Record<string, string>>
	/** Tasks by the number of crashes of backend servers that they may have caused; left out for none. */
	readonly crashes?: Readonly<Record<string, string>>
	/** Tasks that may have crashed a backend server, so that they are started apart from other jobs. */
	readonly suspected?: string
	/** Tasks whose latest run was lost in a way that may have been a crash which they caused. */
	readonly losses?: readonly (UnexplainedLoss & { readonly tasks: string })[]
	/** Tasks by their latest checkpoint; left out for none. */
	readonly checkpoints?: Readonly<Record<string, string>>
}
