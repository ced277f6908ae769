import { createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import { JobRecords } from '../../log/JobRecords.js'
import { createTestFleet } from '../../testing/createTestFleet.js'

const FINISHED_JOBS = 1_000
const FINISHED_AT = 1_700_000_000_000

// Guards against a start of an owner that writes the records of all finished jobs again, and whose
// first placements wait for these appends.
it('writes no record of a finished job when a term starts', async () => {
	const fleet = createTestFleet({ instances: 1, backends: 2 })
	const ids = Array.from({ length: FINISHED_JOBS }, (_, index) =>
		index.toString(16).padStart(16, '0')
	)
	const jobs = ids.map((id) => createTestJob(id, [{ estimate: 300 }], FINISHED_AT))
	fleet.store.append(
		'intake/0',
		jobs.map((job) => JobRecords.createJobRecord(job))
	)
	const cancelled = ids.slice(0, FINISHED_JOBS / 2)
	fleet.store.append(
		'intake/1',
		cancelled.map((id) => JobRecords.createCancelRecord(id))
	)
	const snapshot = { state: 'completed', begun: true, finishedAt: FINISHED_AT, tasks: [] } as const
	fleet.store.append(
		'progress',
		ids.map((id) => JobRecords.createProgressRecord(id, snapshot))
	)
	await fleet.advance(1_500)
	const written = fleet.store.getEntries('progress').slice(FINISHED_JOBS)
	expect(written.filter(({ key }) => ids.includes(key))).toHaveLength(0)
	expect(written.map(({ key }) => key)).toContain('backend/b1')
	const state = fleet.instances[0]?.daemon.intake.getState(ids[0] ?? '', fleet.timers.now() + 2_000)
	await fleet.advance(50)
	expect(await state).toEqual({ kind: 'state', state: 'completed' })
})
