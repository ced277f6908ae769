import { expect, it } from 'vitest'
import { createLostServerFleet } from '../testing/createLostServerFleet.js'

/** Time from the loss of the server to the first restart, in milliseconds, in which an owner records the loss. */
const FIRST_RESTART = 1_000
/** Intervals between two restarts of all instances, in milliseconds; shorter than a lease holds. */
const INTERVALS = [2_500, 3_000, 4_000]
/**
 * Time from the loss of a server after which its tasks run elsewhere, in milliseconds: the silence in which an
 * owner may still renew leases, a lease, and a restart with its takeover.
 */
const MAXIMUM_ABSENCE = 13_000

// Guards against a lasting task that stands without a run after its server was lost, because each new process
// counts the time that the leases may still hold from when it read the record.
it.each(INTERVALS)(
	'a task of a lost server runs again although all instances restart every %i ms',
	async (interval) => {
		const { fleet, task, lostAt } = await createLostServerFleet()
		await fleet.advance(FIRST_RESTART)
		while (fleet.timers.now() - lostAt < MAXIMUM_ABSENCE) {
			for (let index = 0; index < fleet.instances.length; index += 1) fleet.restartInstance(index)
			const left = MAXIMUM_ABSENCE - (fleet.timers.now() - lostAt)
			await fleet.advance(Math.min(interval, left))
		}
		expect(fleet.journal.getRuns(task)).toHaveLength(2)
		expect(fleet.journal.violations).toEqual([])
	}
)
