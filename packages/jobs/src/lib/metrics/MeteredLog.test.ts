import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import type { ReadResult } from '../ports/ReadResult.js'
import { JobMetrics } from './JobMetrics.js'
import { MeteredLog } from './MeteredLog.js'

/** An answer of 2,000 bytes that ends 37 records before the end of the stream. */
const PARTIAL_ANSWER = {
	kind: 'entries',
	entries: [{ key: 'a', value: 'b', offset: 3 }],
	next: 4,
	end: 41,
	bytes: 2_000,
} as const

it('counts the bytes of each stream, and the records that are still unread', async () => {
	const { log, metrics, advance } = createMeteredLog(PARTIAL_ANSWER)
	const read = log.read('progress', 3, 0)
	await advance()
	await read
	const text = metrics.format()
	expect(text).toContain('mastichead_log_read_bytes_total{kind="progress"} 2000')
	expect(text).toContain('mastichead_log_unread_records{kind="progress"} 37')
	expect(text).toContain('mastichead_log_read_milliseconds_count{kind="entries"} 1')
})

it('records the time of a load and of a waiting read by outcome', async () => {
	const { log, store, metrics, advance } = createMeteredLog()
	const wait = log.read('progress', 0, 100)
	const load = log.readNewest('progress')
	await advance()
	store.unavailableStreams.add('progress')
	const failedLoad = log.readNewest('progress')
	await advance()
	await Promise.all([wait, load, failedLoad])
	const text = metrics.format()
	expect(text).toContain('mastichead_log_wait_milliseconds_bucket{kind="empty",le="200"} 1')
	expect(text).toContain('mastichead_log_load_milliseconds_count{kind="entries"} 1')
	expect(text).toContain('mastichead_log_load_milliseconds_bucket{kind="unavailable",le="5"} 1')
})

function createMeteredLog(answer?: ReadResult): {
	log: MeteredLog
	store: MemoryStore
	metrics: JobMetrics
	advance: () => Promise<void>
} {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const metrics = new JobMetrics()
	const memoryLog = new MemoryLog(store, timers)
	if (answer) memoryLog.read = () => Promise.resolve(answer)
	const advance = async (): Promise<void> => {
		for (let step = 0; step < 200; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	return { log: new MeteredLog(memoryLog, timers, metrics), store, metrics, advance }
}
