import type { Job } from '../Job.js'
import type { JobStep } from '../JobStep.js'
import { defaultEstimate } from '../work/defaultEstimate.js'
import { RunTimes } from './RunTimes.js'

/** Weight of the latest run in the moments of a queue. */
const RUN_WEIGHT = 0.02
/** Runs of a queue and image from which on they count instead of the estimate. */
const MINIMUM_RUNS = 30
/** Runs after which predictions are made anew. */
const RUNS_PER_PREDICTION = 30
/** Spread of the logarithm of estimates below which they tell nothing about the differences of runs. */
const MINIMUM_VARIANCE = 0.01
/** Maximum number of queues and images that are told apart; further ones count by their estimates. */
const MAXIMUM_KINDS = 2_000

/** Moments of the logarithms of estimates and run times, in which later runs weigh more. */
interface RunHistory {
	runs: number
	meanEstimate: number
	meanDuration: number
	variance: number
	covariance: number
}

/**
 * Corrects the estimates of jobs by how those of their queue and image have come out. Where estimates say
 * little about the run times, the prediction lies near the mean of the queue; where they are right, near the
 * estimate. (A linear regression of the logarithms.)
 *
 * @public
 */
export class LearnedRunTimes extends RunTimes {
	private readonly histories = new Map<string, RunHistory>()
	/** Predictions by step, since plans ask again and again. */
	private predictions = new WeakMap<JobStep, number>()
	/** Runs recorded since the predictions were made. */
	private newRuns = 0

	override getRunTime(job: Job, step: JobStep): number {
		const known = this.predictions.get(step)
		if (known !== undefined) return known
		const predicted = this.predict(job, step)
		this.predictions.set(step, predicted)
		return predicted
	}

	private predict(job: Job, step: JobStep): number {
		const estimate = step.estimate || defaultEstimate
		const history = this.histories.get(getKind(job, step))
		if (!history || history.runs < MINIMUM_RUNS) return estimate
		const { meanEstimate, meanDuration, variance, covariance } = history
		const slope = variance < MINIMUM_VARIANCE ? 0 : Math.min(1, Math.max(0, covariance / variance))
		return Math.exp(meanDuration + slope * (Math.log(estimate) - meanEstimate))
	}

	override record(job: Job, step: JobStep, duration: number): void {
		const history = this.getOrCreate(getKind(job, step))
		if (!history || duration <= 0) return
		this.forgetPredictions()
		history.runs += 1
		const weight = Math.max(RUN_WEIGHT, 1 / history.runs)
		const estimateChange = Math.log(step.estimate || defaultEstimate) - history.meanEstimate
		const durationChange = Math.log(duration) - history.meanDuration
		history.meanEstimate += weight * estimateChange
		history.meanDuration += weight * durationChange
		const rest = 1 - weight
		history.variance = rest * (history.variance + weight * estimateChange ** 2)
		history.covariance = rest * (history.covariance + weight * estimateChange * durationChange)
	}

	private forgetPredictions(): void {
		this.newRuns += 1
		if (this.newRuns < RUNS_PER_PREDICTION) return
		this.newRuns = 0
		this.predictions = new WeakMap()
	}

	private getOrCreate(kind: string): RunHistory | undefined {
		const existing = this.histories.get(kind)
		if (existing || this.histories.size >= MAXIMUM_KINDS) return existing
		const history = { runs: 0, meanEstimate: 0, meanDuration: 0, variance: 0, covariance: 0 }
		this.histories.set(kind, history)
		return history
	}
}

function getKind({ queue }: Job, { image }: JobStep): string {
	return `${queue} ${image}`
}
