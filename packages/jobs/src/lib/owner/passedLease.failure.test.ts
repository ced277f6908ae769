import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Time from a server's restart to its loss, in milliseconds; longer than any lease from before. */
const PASSED = 15_000
/** Longest absence of a lasting task, in milliseconds. */
const MAXIMUM_ABSENCE = 9_000

// Guards against a lasting task that stands without a run, because a process that has just started counts the long lease of a
// server's restart, which passed long ago, from its own start.
it('a long lease that has passed holds no task back after all instances have lost power', async () => {
	const fleet = createTestFleet({ instances: 2, backends: 2 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	await fleet.advance(600)
	const job = createTestFleet.createJob(1, [{ count: 1, lasting: true }])
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(500)
	const task = `${job.id}.0.0.0`
	const findServer = () => fleet.backends.get(fleet.journal.getRuns(task).at(-1)?.backend ?? '')
	findServer()?.restart()
	await fleet.advance(PASSED)
	const lost = findServer()
	lost?.crash()
	const lostAt = fleet.timers.now()
	fleet.restartInstance(0)
	fleet.restartInstance(1)
	await fleet.advance(MAXIMUM_ABSENCE)
	const run = fleet.journal.getRuns(task).at(-1)
	expect(run?.backend).not.toBe(lost?.id)
	expect((run?.startedAt ?? Infinity) - lostAt).toBeLessThan(MAXIMUM_ABSENCE)
})
