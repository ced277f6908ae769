import type { Job, JobId, JobSnapshot } from '@mastichead/core'
import type { RecordedPlacement } from './RecordedPlacement.js'

/**
 * A job in the replica.
 *
 * @public
 */
export interface ReplicaRow {
	readonly id: JobId
	/** The submitted job; undefined if only other records of the job were read so far. */
	job: Job | undefined
	cancelled: boolean
	/** Monotonic instant at which the latest cancellation was read; undefined before the first. */
	cancelReadAt: number | undefined
	/** Teams that have cancelled the id while no submission of it was known; none of theirs runs. */
	readonly barredTeams: Set<string>
	/** Latest progress recorded by an owner; undefined before the first record. */
	snapshot: JobSnapshot | undefined
	/** The placements in that progress, by the task's index in the job's list of tasks. */
	placements: ReadonlyMap<number, RecordedPlacement>
}
