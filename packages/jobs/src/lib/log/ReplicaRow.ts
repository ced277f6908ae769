import type { Job, JobId, JobSnapshot } from '@mastichead/core'
import type { CancellationScope } from '../intake/CancellationScope.js'
import type { IntakeEntry } from '../intake/IntakeEntry.js'
import type { RecordedPlacement } from './RecordedPlacement.js'

/**
 * A job in the replica.
 *
 * @public
 */
export interface ReplicaRow {
	readonly id: JobId
	/** What callers wrote about the id; the fields `job`, `cancelled` and `barriers` follow from it. */
	entries: readonly IntakeEntry[]
	/** The one job that has the id; undefined if only other records of it were read so far. */
	job: Job | undefined
	cancelled: boolean
	/** Cancellations that came before any job; no later submission in their scope becomes the job. */
	barriers: readonly CancellationScope[]
	/** Monotonic instant at which the latest cancellation was read; undefined before the first. */
	cancelReadAt: number | undefined
	/** Latest progress recorded by an owner; undefined before the first record. */
	snapshot: JobSnapshot | undefined
	/** The placements in that progress, by the task's index in the job's list of tasks. */
	placements: ReadonlyMap<number, RecordedPlacement>
}
