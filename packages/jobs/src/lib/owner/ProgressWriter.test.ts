import type { JobTable } from '@mastichead/core'
import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { StreamFollower } from '../log/StreamFollower.js'
import { createTestContext } from '../testing/createTestContext.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
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
