import type { JobId } from './JobId.js'
import type { JobStep } from './JobStep.js'

/**
 * A job as a caller submitted it.
 *
 * @public
 */
export interface Job {
	readonly id: JobId
	/** Name of the queue. */
	readonly queue: string
	/** Name of the team; empty for a job without a key. */
	readonly team: string
	/** Text that is handed to each task. */
	readonly specification: string
	readonly steps: readonly JobStep[]
	/** How often the steps run; 0 for a job without a schedule. */
	readonly times: number
	/** When the first scheduled occurrence is due, in milliseconds since 1970. */
	readonly startAt: number
	/** Milliseconds between scheduled occurrences. */
	readonly interval: number
	/** When the job was accepted, in milliseconds since 1970 on the accepting instance's clock. */
	readonly acceptedAt: number
}
