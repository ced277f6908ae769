import { expect, it } from 'vitest'
import { JobMetrics } from '../../metrics/JobMetrics.js'
import { createTestFleet } from '../../testing/createTestFleet.js'
import { MemoryEventLog } from '../../testing/MemoryEventLog.js'

// Guards against a slow start of an owner of which nobody can tell what it waited for.
it('reports how long each phase of the start of a term took, and what is still unread', async () => {
	const events = new MemoryEventLog()
	const fleet = createTestFleet({ instances: 1, backends: 1, events })
	fleet.store.unavailableStreams.add('intake/3')
	await fleet.advance(1_500)
	const [line] = events.get('owner-begun')
	expect(line).toMatchObject({ jobs: 0, unread: ['intake/3'] })
	const { waited, fence } = line as Record<string, number>
	expect(fence).toBeGreaterThan(0)
	// The stream of progress was read before the term began.
	expect(line).toMatchObject({ progress: 0, intake: 500, restore: 0 })
	expect(waited).toBe((fence ?? 0) + 500)
})

// Guards against a late start of which nobody can tell whether it waited for a place or for the log.
it('records the time to the first placement, and from a placement to its order', async () => {
	const metrics = new JobMetrics()
	const fleet = createTestFleet({ instances: 1, backends: 1, metrics })
	await fleet.advance(1_000)
	const job = createTestFleet.createJob(1, [{ count: 2 }])
	const acceptedAt = job.acceptedAt + fleet.timers.now()
	void fleet.instances[0]?.daemon.intake.submit({ ...job, acceptedAt }, 5_000)
	await fleet.advance(1_000)
	const text = metrics.format()
	expect(text).toContain('mastichead_job_wait_milliseconds_count 1')
	expect(text).toContain('mastichead_job_wait_milliseconds_bucket{le="1000"} 1')
	expect(text).toContain('mastichead_order_delay_milliseconds_count 2')
	expect(text).toContain('mastichead_order_delay_milliseconds_bucket{le="20"} 2')
})
