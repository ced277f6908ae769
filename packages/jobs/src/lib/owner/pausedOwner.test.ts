import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Duration of a suspension, in milliseconds; shorter than a lease, so that leases are still valid after it. */
const PAUSE_TIME = 3_500
/** Latency of a call to the log, in milliseconds, so that no answer arrives between two suspensions. */
const CALL_TIME = 8_000
/** Time between two suspensions, in milliseconds; enough for a renewal. */
const RUN_TIME = 150
const PAUSES = 5

it('a repeatedly suspended owner renews no lease that its successor relies on to expire', async () => {
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
		await fleet.advance(PAUSE_TIME)
		owner?.timers.resume()
		await fleet.advance(RUN_TIME)
	}
	expect(other?.daemon.isOwner).toBe(true)
	await fleet.advance(20_000)
	expect(fleet.journal.violations).toEqual([])
	expect(fleet.journal.running).toEqual([task])
})
