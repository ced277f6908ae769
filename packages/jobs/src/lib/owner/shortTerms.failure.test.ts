import { expect, it } from 'vitest'
import { createLostServerFleet } from '../testing/createLostServerFleet.js'

/** Intervals between two changes of the owner, in milliseconds; shorter than two listings without an answer. */
const INTERVALS = [600, 900]
/** Time from the loss of a server after which its tasks run elsewhere, in milliseconds. */
const MAXIMUM_ABSENCE = 20_000

// Guards against a wait for leases that starts over with each owner, because the owner changes before it has
// recorded that it did not reach the server.
it.each(INTERVALS)(
	'a task of a lost server runs again although owners change before they record its loss, every %i ms',
	async (interval) => {
		const { fleet, task } = await createLostServerFleet()
		for (let waited = 0; waited < MAXIMUM_ABSENCE; waited += interval) {
			fleet.store.rebalance()
			await fleet.advance(interval)
		}
		expect(fleet.journal.getRuns(task)).toHaveLength(2)
		expect(fleet.journal.violations).toEqual([])
	}
)
