import type { QueueRules } from './QueueRules.js'
import type { StepRun } from './StepRun.js'
import { defaultEstimate } from './defaultEstimate.js'
import { OrderPolicy } from './OrderPolicy.js'
import { getChainLength } from './getChainLength.js'

/**
 * Lasting tasks first; then, by priority, what can still be in time with the least slack first;
 * then what is late, oldest first.
 *
 * @public
 */
export class SlackOrder extends OrderPolicy {
	override getRank(run: StepRun, queue: QueueRules, wallTime: number): readonly number[] {
		const { job } = run.row
		if (run.step.lasting) return [0, queue.priority, 0, job.acceptedAt]
		const chain = getChainLength(job.steps, (step) => step.estimate || defaultEstimate)
		const due = job.acceptedAt + queue.stretch * chain + queue.latency
		const left = getChainLength(job.steps, (step, stepNumber) =>
			stepNumber < run.stepNumber ? 0 : step.estimate || defaultEstimate
		)
		const slack = due - wallTime - left
		if (slack < 0) return [1, queue.priority, 1, job.acceptedAt]
		return [1, queue.priority, 0, slack]
	}
}
