import { describe, expect, it } from 'vitest'
import { createSingleServerFleet } from '../testing/createSingleServerFleet.js'

/** Time from the restart of an idle server to the next submission, in milliseconds. */
const DELAYS = [0, 40, 300, 900]
const SHORT_RUN = 60

// Guards against a task that is started again although it has run to its end, because it was started
// right after a restart of its server that the owner had not seen yet.
describe('a backend server that starts again under its id', () => {
	it.each(DELAYS)('runs a task once that is started %i ms later', async (delay) => {
		const { fleet, backend, submit, getRuns } = await createSingleServerFleet()
		submit(1, 4)
		await fleet.advance(2_000)
		backend.restart()
		await fleet.advance(delay)
		submit(3, 3)
		await fleet.advance(5_000)
		expect([0, 1, 2].map((index) => getRuns(3, index).length)).toEqual([1, 1, 1])
		expect(fleet.journal.violations).toEqual([])
	})

	it.each(DELAYS)(
		'and its ends are read that came before its first listing, %i ms',
		async (delay) => {
			const { fleet, backend, submit, getRuns } = await createSingleServerFleet()
			submit(1, 4)
			await fleet.advance(2_000)
			submit(2, 1)
			await fleet.advance(200)
			backend.restart()
			backend.getRunDuration = () => SHORT_RUN
			await fleet.advance(delay)
			submit(3, 3)
			await fleet.advance(5_000)
			expect([0, 1, 2].map((index) => getRuns(3, index).length)).toEqual([1, 1, 1])
			expect(fleet.journal.violations).toEqual([])
		}
	)
})
