import { describe, expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** Time after which the start order is carried out; it has no answer, which fails it after 500 ms. */
const START_DELAY = 600
/** Time from the start order to the stop of another task, after which the owner requests a listing. */
const STOP_TIME = 520
/** How long the answer to that listing is under way, in milliseconds. */
const ANSWER_DELAYS = [160, 180, 210, 300]
/** How long the task runs, in milliseconds. */
const DURATIONS = [150, 250, 400]

// Guards against a task that is started again during or after its run, because the answer that listed
// it as running was followed by an older one that did not list it yet.
describe('a listing that arrives after a later one', () => {
	it.each(
		ANSWER_DELAYS.flatMap((delay) => DURATIONS.map((duration) => [delay, duration] as const))
	)(
		'does not end a run that the later one has shown, %i ms under way, run of %i ms',
		async (delay, duration) => {
			const fleet = createTestFleet({ instances: 1, backends: 1 })
			const [instance] = fleet.instances
			const backend = fleet.backends.get('b1')
			if (!instance || !backend) throw new Error('the fleet lacks an instance or a server')
			const { daemon, backendClient } = instance
			const submit = (number: number): string => {
				const job = createJob(number, [{ count: 1 }])
				void daemon.intake.submit(job, fleet.timers.now() + 2_000)
				return job.id
			}
			await fleet.advance(500)
			backend.getRunDuration = () => 3_000
			const stopped = submit(1)
			await fleet.advance(50)
			// Ends after the delayed start, so that the waiting listing is answered then.
			backend.getRunDuration = () => 710
			submit(2)
			await fleet.advance(50)
			backend.getRunDuration = () => duration
			backendClient.startDelay = START_DELAY
			const job = submit(3)
			await fleet.advance(STOP_TIME)
			backendClient.startDelay = undefined
			backendClient.getAnswerDelay = (wait) => (wait === 0 ? delay : 0)
			void daemon.intake.cancel(stopped, fleet.timers.now() + 2_000)
			await fleet.advance(4_000)
			expect(fleet.journal.getRuns(`${job}.0.0.0`)).toHaveLength(1)
			expect(fleet.journal.violations).toEqual([])
		}
	)
})
