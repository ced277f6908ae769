import { expect, it } from 'vitest'
import { createTestJob } from '../testing/createTestJob.js'
import { LearnedRunTimes } from './LearnedRunTimes.js'

const RUNS = 200
const TYPICAL = 640

it('takes an estimate at its word until runs have shown how estimates come out', () => {
	const runTimes = new LearnedRunTimes()
	const { job, step } = createEstimate(250)
	expect(runTimes.getRunTime(job, step)).toBe(250)
	for (let run = 0; run < 10; run += 1) runTimes.record(job, step, TYPICAL)
	expect(runTimes.getRunTime(job, step)).toBe(250)
})

it('predicts the typical run time where estimates say nothing', () => {
	const runTimes = new LearnedRunTimes()
	for (let run = 0; run < RUNS; run += 1) {
		const { job, step } = createEstimate(run % 2 === 0 ? 200 : 2_000)
		runTimes.record(job, step, run % 4 < 2 ? TYPICAL * 0.9 : TYPICAL * 1.1)
	}
	for (const estimate of [100, TYPICAL, 4_000]) {
		const { job, step } = createEstimate(estimate)
		const predicted = runTimes.getRunTime(job, step)
		expect(predicted).toBeGreaterThan(TYPICAL * 0.8)
		expect(predicted).toBeLessThan(TYPICAL * 1.25)
	}
})

it('keeps the differences of estimates that come out, and corrects what they have in common', () => {
	const runTimes = new LearnedRunTimes()
	for (let run = 0; run < RUNS; run += 1) {
		const { job, step } = createEstimate(run % 2 === 0 ? 500 : 2_000)
		runTimes.record(job, step, step.estimate * 1.5)
	}
	for (const estimate of [500, 1_000, 2_000]) {
		const { job, step } = createEstimate(estimate)
		expect(runTimes.getRunTime(job, step)).toBeCloseTo(estimate * 1.5, -1)
	}
})

it('tells queues and images apart', () => {
	const runTimes = new LearnedRunTimes()
	const { job, step } = createEstimate(500)
	for (let run = 0; run < RUNS; run += 1) runTimes.record(job, step, 2_000)
	expect(runTimes.getRunTime(job, step)).toBeCloseTo(2_000, 0)
	expect(runTimes.getRunTime({ ...job, queue: 'other' }, { ...step })).toBe(500)
	expect(runTimes.getRunTime(job, { ...step, image: 'other' })).toBe(500)
})

function createEstimate(estimate: number) {
	const job = createTestJob('a', [{ estimate }])
	const [step] = job.steps
	if (!step) throw new Error('the job has no step')
	return { job, step }
}
