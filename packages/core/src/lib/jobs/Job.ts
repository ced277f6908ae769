import type { JobId } from './JobId.js'
import type { JobStep } from './JobStep.js'
import type { QueueRules } from './QueueRules.js'

/**
 * A job as a caller submitted it.
 *
 * @public
 */
export interface Job {
	readonly id: JobId
	/** Name of the queue. */
	readonly queue: string
	/** Rules of the queue when the job was accepted; absent in records of versions that did not keep them. */
	readonly acceptedRules?: QueueRules
	/** Name of the team; empty for a job without a key. */
	readonly team: string
	/** Text that is passed to each task. */
	readonly specification: string
	readonly steps: readonly JobStep[]
	/** Number of scheduled occurrences; 0 for a job without a schedule. */
	readonly times: number
	/** Start of the first scheduled occurrence, in milliseconds since 1970. */
	readonly startAt: number
	/** Time between the starts of scheduled occurrences, in milliseconds. */
	readonly interval: number
	/** Time of acceptance, in milliseconds since 1970 on the accepting instance's clock. */
	readonly acceptedAt: number
}
