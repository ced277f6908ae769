import type { Job } from '../Job.js'
import type { JobStep } from '../JobStep.js'

/**
 * Predicts how long tasks run.
 *
 * @public
 */
export abstract class RunTimes {
	/** Returns the expected run time of a task of a job's step, in milliseconds. */
	abstract getRunTime(job: Job, step: JobStep): number

	/**
	 * Records a run that was successful from its beginning to its end.
	 *
	 * @param duration - milliseconds
	 */
	abstract record(job: Job, step: JobStep, duration: number): void
}
