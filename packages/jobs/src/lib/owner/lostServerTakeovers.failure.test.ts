import { expect, it } from 'vitest'
import { createLostServerFleet } from '../testing/createLostServerFleet.js'

/** Time from the loss of the server to the first change of the owner, in milliseconds; shorter than a lease. */
const FIRST_CHANGE = 1_000
/** Intervals between two changes of the owner, in milliseconds; all are shorter than the wait for leases. */
const INTERVALS = [2_000, 5_000, 8_000]
/**
 * Time from the loss of a server after which its tasks run elsewhere, in milliseconds: the silence in which an
 * owner may still renew leases, a lease, and the calls until the restart.
 */
const MAXIMUM_ABSENCE = 11_000

// Guards against a lasting task that stands without a run after its server was lost, because the wait for
// the server's leases started over with each change of the owner.
it.each(INTERVALS)(
	'a task of a lost server runs again although the owner changes every %i ms',
	async (interval) => {
		const { fleet, task, lostAt } = await createLostServerFleet()
		for (let waited = FIRST_CHANGE; waited < MAXIMUM_ABSENCE; waited += interval) {
			await fleet.advance(waited === FIRST_CHANGE ? FIRST_CHANGE : interval)
			fleet.store.rebalance()
		}
		await fleet.advance(MAXIMUM_ABSENCE - (fleet.timers.now() - lostAt))
		expect(fleet.journal.getRuns(task)).toHaveLength(2)
		expect(fleet.journal.violations).toEqual([])
	}
)

// Guards against a lasting task that stands without a run for longer than leases last, because the owner
// was killed before it could record that it had lost the server.
it('a task of a server that is lost together with the owner runs again once its leases have expired', async () => {
	const { fleet, task } = await createLostServerFleet()
	const owner = fleet.instances.find(({ daemon }) => daemon.isOwner)
	owner?.timers.pause()
	await fleet.advance(MAXIMUM_ABSENCE)
	expect(fleet.journal.getRuns(task)).toHaveLength(2)
	expect(fleet.journal.violations).toEqual([])
})
