import { describe, expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** Time from the restart of an idle server to the next submission, in milliseconds. */
const DELAYS = [0, 40, 300, 900]
const SHORT_RUN = 60

// Guards against a task that is started again although it has run to its end, because it was started
// right after a restart of its server that the owner had not seen yet.
describe('a backend server that starts again under its id', () => {
	it.each(DELAYS)('runs a task once that is started %i ms later', async (delay) => {
		const { fleet, submit, getRuns } = await createRunningFleet()
		submit(1, 4)
		await fleet.advance(2_000)
		fleet.backends.get('b1')?.restart()
		await fleet.advance(delay)
		submit(3, 3)
		await fleet.advance(5_000)
		expect([0, 1, 2].map((index) => getRuns(3, index).length)).toEqual([1, 1, 1])
		expect(fleet.journal.violations).toEqual([])
	})

	it.each(DELAYS)(
		'and its ends are read that came before its first listing, %i ms',
		async (delay) => {
			const { fleet, submit, getRuns } = await createRunningFleet()
			submit(1, 4)
			await fleet.advance(2_000)
			submit(2, 1)
			await fleet.advance(200)
			const backend = fleet.backends.get('b1')
			backend?.restart()
			if (backend) backend.getRunDuration = () => SHORT_RUN
			await fleet.advance(delay)
			submit(3, 3)
			await fleet.advance(5_000)
			expect([0, 1, 2].map((index) => getRuns(3, index).length)).toEqual([1, 1, 1])
			expect(fleet.journal.violations).toEqual([])
		}
	)
})

/** Creates a fleet of one server, whose tasks run for 400 ms. */
async function createRunningFleet() {
	const fleet = createTestFleet({ instances: 1, backends: 1 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => 400
	await fleet.advance(500)
	const submit = (number: number, count: number): void => {
		const job = createJob(number, [{ count }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	}
	const getRuns = (number: number, index: number) =>
		fleet.journal.getRuns(`${createJob(number, []).id}.0.0.${index}`)
	return { fleet, submit, getRuns }
}
