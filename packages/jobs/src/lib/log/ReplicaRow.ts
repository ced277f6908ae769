import type { Job, JobId, JobSnapshot } from '@mastichead/core'

/**
 * A job as the log tells of it.
 *
 * @public
 */
export interface ReplicaRow {
	readonly id: JobId
	/** Undefined while only later records of the job have been read. */
	job: Job | undefined
	cancelled: boolean
	/** What the owner has decided; undefined before its first record. */
	snapshot: JobSnapshot | undefined
}
