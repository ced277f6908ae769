import type { Job } from '../Job.js'
import type { JobStep } from '../JobStep.js'
import { defaultEstimate } from '../work/defaultEstimate.js'
import { RunTimes } from './RunTimes.js'

/**
 * Takes the estimates that come with the jobs at their word.
 *
 * @public
 */
export class EstimatedRunTimes extends RunTimes {
	override getRunTime(_job: Job, step: JobStep): number {
		return step.estimate || defaultEstimate
	}

	override record(): void {
		// Estimates do not change.
	}
}
