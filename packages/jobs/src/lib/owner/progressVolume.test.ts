import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Bytes per second that the narrowest link of an instance transfers: 10 Mbit/s. */
const LINK_BYTES_PER_SECOND = 1_250_000
/** Share of the link that progress records may use, because every instance reads all of them. */
const RECORDS_SHARE = 0.2
const JOBS_PER_SECOND = 45
const BYTES_PER_JOB = (LINK_BYTES_PER_SECOND * RECORDS_SHARE) / JOBS_PER_SECOND
/** Bytes of a record in the log in addition to its key and value. */
const RECORD_HEAD_BYTES = 5

// Guards against progress records that fill the narrow links of the instances that read them.
it('writes at most 5,555 bytes of progress records for a job with 16 tasks', async () => {
	const fleet = createTestFleet({ instances: 1, backends: 4, backendPrefix: 'i-015000000' })
	for (const backend of fleet.backends.values()) {
		backend.getRunDuration = (task) => 300 + 37 * Number(task.split('.').at(-1))
	}
	await fleet.advance(500)
	const intake = fleet.instances[0]?.daemon.intake
	if (!intake) throw new Error('the fleet has no instance')
	const job = createTestFleet.createJob(1, [{ count: 16, maximumPerBackend: 4 }])
	void intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(2_000)
	const state = intake.getState(job.id, fleet.timers.now() + 2_000)
	await fleet.advance(50)
	expect(await state).toEqual({ kind: 'state', state: 'completed' })
	const records = fleet.store.getEntries('progress').filter((entry) => entry.key === job.id)
	const bytes = records.map(
		({ key, value }) => RECORD_HEAD_BYTES + key.length + Buffer.byteLength(value ?? '')
	)
	expect(bytes.reduce((sum, size) => sum + size, 0)).toBeLessThanOrEqual(BYTES_PER_JOB)
})
