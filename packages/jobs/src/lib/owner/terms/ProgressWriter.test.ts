import type { JobRow, JobTable } from '@mastichead/core'
import { VirtualTimerService } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { StreamFollower } from '../../log/StreamFollower.js'
import { createTestContext } from '../../testing/createTestContext.js'
import { createTestFleet } from '../../testing/createTestFleet.js'
import { MemoryLog } from '../../testing/MemoryLog.js'
import { MemoryStore } from '../../testing/MemoryStore.js'
import { ProgressWriter } from './ProgressWriter.js'

it('runs a callback added during an append once, after the next append', async () => {
	const { writer, store, jobs, advance } = createWriter()
	const [first, second] = [1, 2].map((number) =>
		jobs.add(createTestFleet.createJob(number, [{ count: 1 }]))
	)
	if (!first || !second) throw new Error('fewer than two jobs were created')
	const endOffsets: number[] = []
	writer.markJobChanged(first)
	await advance(1)
	writer.markJobChanged(second)
	writer.whenDurable(() => endOffsets.push(store.getEnd('progress')))
	await advance(5)
	expect(endOffsets).toEqual([])
	await advance(20)
	expect(endOffsets).toEqual([2])
	writer.markJobChanged(first)
	await advance(20)
	expect(endOffsets).toEqual([2])
})

describe('a change that may wait', () => {
	it('is written once, with the changes that follow, when its time is over', async () => {
		const { writer, store, jobs, advance } = createWriter()
		const [row] = addJobs(jobs, 1)
		writer.markJobChanged(row, 40)
		await advance(30)
		writer.markJobChanged(row, 40)
		const durableAt: number[] = []
		writer.whenWritten(() => durableAt.push(store.getEnd('progress')))
		await advance(8)
		expect(store.getEnd('progress')).toBe(0)
		await advance(10)
		expect(durableAt).toEqual([1])
		await advance(100)
		expect(store.getEnd('progress')).toBe(1)
	})

	// Guards against start orders that wait for the ends of other jobs' tasks.
	it('holds up no callback for another job and is not written with it', async () => {
		const { writer, store, jobs, advance } = createWriter()
		const [delayed, placed] = addJobs(jobs, 2)
		const calls: string[] = []
		writer.markJobChanged(delayed, 40)
		writer.whenWritten(() => calls.push('all'))
		writer.markJobChanged(placed, 40)
		writer.whenRecordDurable(placed.job.id, () => calls.push('placed'))
		await advance(10)
		expect(calls).toEqual(['placed'])
		expect(store.getEntries('progress').map((entry) => entry.key)).toEqual([placed.job.id])
		await advance(40)
		expect(calls).toEqual(['placed', 'all'])
		expect(store.getEnd('progress')).toBe(2)
	})

	// Guards against a start order that is sent before its placement is durable.
	it('is written without delay, in its newest version, if an order waits for it', async () => {
		const { writer, store, jobs, advance } = createWriter()
		const [row] = addJobs(jobs, 1)
		const endOffsets: number[] = []
		writer.markJobChanged(row, 40)
		row.state = 'running'
		writer.whenRecordDurable(row.job.id, () => endOffsets.push(store.getEnd('progress')))
		await advance(3)
		expect(endOffsets).toEqual([])
		await advance(3)
		expect(endOffsets).toEqual([1])
		expect(store.getEntries('progress')[0]?.value).toContain('"state":"running"')
	})

	// Guards against an order to a server whose registration a new owner does not find in the log.
	it('runs the callback of a job after the records that were due before', async () => {
		const { writer, store, jobs, advance } = createWriter()
		const [row] = addJobs(jobs, 1)
		writer.markJobChanged(row, 40)
		for (let number = 1; number <= 300; number += 1) {
			const key = `backend/${number}`
			writer.markRecordChanged(key, () => ({ key, value: '{}' }))
		}
		const endOffsets: number[] = []
		writer.whenRecordDurable(row.job.id, () => endOffsets.push(store.getEnd('progress')))
		await advance(20)
		expect(endOffsets).toEqual([301])
	})

	// Guards against maintenance orders that wait for further ends of tasks, one machine after the other.
	it('is written without delay if an order waits for everything', async () => {
		const { writer, store, jobs, advance } = createWriter()
		const endOffsets: number[] = []
		for (const row of addJobs(jobs, 2)) writer.markJobChanged(row, 40)
		writer.whenDurable(() => endOffsets.push(store.getEnd('progress')))
		await advance(6)
		expect(endOffsets).toEqual([2])
	})

	it('is not written after the end of the term', async () => {
		const { writer, store, jobs, advance } = createWriter()
		const [row] = addJobs(jobs, 1)
		writer.markJobChanged(row, 40)
		await advance(10)
		writer.stop()
		await advance(100)
		expect(store.getEnd('progress')).toBe(0)
	})
})

function addJobs<const Count extends 1 | 2>(
	jobs: JobTable,
	count: Count
): Count extends 1 ? [JobRow] : [JobRow, JobRow] {
	return Array.from({ length: count }, (_, index) =>
		jobs.add(createTestFleet.createJob(index + 1, [{ count: 1 }]))
	) as Count extends 1 ? [JobRow] : [JobRow, JobRow]
}

function createWriter(): {
	writer: ProgressWriter
	store: MemoryStore
	jobs: JobTable
	advance: (duration: number) => Promise<void>
} {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const log = new MemoryLog(store, timers)
	const context = createTestContext(timers)
	const { events, jobs } = context
	const options = { maximumWait: 0, getPollDelay: () => 0 }
	const follower = new StreamFollower('progress', log, timers, events, () => undefined, options)
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	return { writer: new ProgressWriter(context, log, follower), store, jobs, advance }
}
