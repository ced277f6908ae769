import type { BackendId } from './BackendId.js'
import type { JobId } from './JobId.js'
import type { RunUse } from './RunUse.js'

/**
 * A run that an earlier owner has recorded and may have started, of a job whose submission has not been read.
 *
 * @public
 */
export interface UnreadRun {
	readonly job: JobId
	/** Index of its task in the job's list of tasks. */
	readonly place: number
	readonly backend: BackendId
	/** Time at which its record was read, in milliseconds on the monotonic clock; -Infinity if that was in a load. */
	readonly recordedAt: number
	/** Undefined if a version recorded it that did not keep what runs use. */
	readonly use: RunUse | undefined
}
