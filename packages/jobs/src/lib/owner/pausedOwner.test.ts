import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Shorter than a lease, so that each time what runs is still held when the owner goes on. */
const PAUSE = 3_500
/** Time of a call to the log, so that no answer comes between two pauses, in milliseconds. */
const CALL_TIME = 8_000
/** Enough for a renewal, in milliseconds. */
const WAKE = 150
const PAUSES = 5

it('an owner that is suspended again and again renews no lease that another counts as ended', async () => {
	const fleet = createTestFleet({ instances: 2, backends: 2 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	await fleet.advance(600)
	const owner = fleet.instances.find(({ daemon }) => daemon.isOwner)
	const other = fleet.instances.find(({ daemon }) => !daemon.isOwner)
	const job = createTestFleet.createJob(1, [{ count: 1, lasting: true }])
	void other?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(500)
	const [task = ''] = fleet.journal.running
	other?.backendClient.unreachable.add(fleet.journal.getRuns(task)[0]?.backend ?? '')
	if (owner) owner.log.callLatency = CALL_TIME
	for (let pause = 0; pause < PAUSES; pause += 1) {
		owner?.timers.pause()
		await fleet.advance(PAUSE)
		owner?.timers.resume()
		await fleet.advance(WAKE)
	}
	expect(other?.daemon.isOwner).toBe(true)
	await fleet.advance(20_000)
	expect(fleet.journal.violations).toEqual([])
	expect(fleet.journal.running).toEqual([task])
})
