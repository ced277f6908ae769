import { describe, expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** Times for which a backend server does not answer, in milliseconds; shorter than a lease. */
const SILENCES = [300, 1_500, 3_000]
/** Times that a listing is on the way, in milliseconds. */
const LISTING_DELAYS = [40, 300, 900]
const TASKS = 6
/** Number of tasks of a job that is submitted while listings are late. */
const LATER_TASKS = 2
const LAST_JOB = 20

// Guards against running work that is started elsewhere, or given up, because its server was only silent
// or slow to report for a while.
describe('a backend server', () => {
	it.each(SILENCES)('that is silent for %i ms keeps its lasting tasks', async (silence) => {
		const { fleet, getRuns } = await createRunningFleet(undefined)
		const silent = fleet.backends.get('b1')
		if (silent) silent.disconnected = true
		await fleet.advance(silence)
		if (silent) silent.disconnected = false
		await fleet.advance(8_000)
		expect(getRuns().map((runs) => runs.length)).toEqual(Array(TASKS).fill(1))
		expect(fleet.journal.running).toHaveLength(TASKS)
	})

	it.each(SILENCES)(
		'that is silent for %i ms has its ends read once it answers',
		async (silence) => {
			const { fleet, getRuns } = await createRunningFleet(200)
			const silent = fleet.backends.get('b1')
			if (silent) silent.disconnected = true
			await fleet.advance(silence)
			if (silent) silent.disconnected = false
			await fleet.advance(8_000)
			expect(getRuns().map((runs) => runs.length)).toEqual(Array(TASKS).fill(1))
			expect(fleet.journal.violations).toEqual([])
		}
	)

	it.each(LISTING_DELAYS)(
		'whose listings arrive %i ms late keeps tasks that were started meanwhile',
		async (delay) => {
			const { fleet, getRuns, submit } = await createRunningFleet(1_000)
			for (const { backendClient } of fleet.instances) backendClient.getAnswerDelay = () => delay
			for (let number = 2; number <= LAST_JOB; number += 1) {
				submit(number, LATER_TASKS)
				await fleet.advance(130)
			}
			await fleet.advance(8_000)
			for (let number = 2; number <= LAST_JOB; number += 1)
				expect(getRuns(number, LATER_TASKS).map((runs) => runs.length)).toEqual([1, 1])
			expect(fleet.journal.violations).toEqual([])
		}
	)
})

/**
 * Creates a fleet of two servers on which the tasks of job 1 have just begun.
 *
 * @param duration - milliseconds that a task runs; undefined lets it run until it is stopped
 */
async function createRunningFleet(duration: number | undefined) {
	const fleet = createTestFleet({ instances: 2, backends: 2 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => duration
	await fleet.advance(500)
	const submit = (number: number, count: number): void => {
		const job = createJob(number, [{ count, lasting: duration === undefined }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	}
	const getRuns = (number = 1, count = TASKS) =>
		Array.from({ length: count }, (_, index) =>
			fleet.journal.getRuns(`${createJob(number, []).id}.0.0.${index}`)
		)
	submit(1, TASKS)
	await fleet.advance(150)
	return { fleet, submit, getRuns }
}
