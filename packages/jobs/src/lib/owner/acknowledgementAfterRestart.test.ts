import { describe, expect, it } from 'vitest'
import { createSingleServerFleet } from '../testing/createSingleServerFleet.js'

/** Time from the start of the first runs to the crash of the idle server, in milliseconds. */
const CRASH_TIMES = [520, 600, 700, 900, 1_000, 1_100, 1_200]
/** Time from the crash to the submission of the next tasks, in milliseconds. */
const PAUSES = [0, 100, 300]
const SHORT_RUN = 60

// Guards against a task that is started again after its end, because the server's new process was
// sent the number up to which the owner had read the ends of the process before.
describe('the acknowledgement of ends by a server that starts again within a second', () => {
	it.each(CRASH_TIMES.flatMap((crash) => PAUSES.map((pause) => [crash, pause] as const)))(
		'drops no end of the new process, crash after %i ms, tasks %i ms later',
		async (crash, pause) => {
			const { fleet, backend, submit, getRuns } = await createSingleServerFleet()
			submit(1, 8)
			await fleet.advance(crash)
			backend.restart()
			backend.getRunDuration = () => SHORT_RUN
			await fleet.advance(pause)
			submit(2, 3)
			await fleet.advance(4_000)
			expect([0, 1, 2].map((index) => getRuns(2, index).length)).toEqual([1, 1, 1])
			expect(fleet.journal.violations).toEqual([])
		}
	)
})
