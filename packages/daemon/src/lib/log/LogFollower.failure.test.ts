import { VirtualTimerService } from '@mastichead/core'
import { PassThrough } from 'node:stream'
import { expect, test } from 'vitest'
import { createLogger } from '../logs/createLogger.js'
import type { AppendOutcome } from './AppendOutcome.js'
import { LogClient } from './LogClient.js'
import { LogFollower } from './LogFollower.js'
import { LogReplica } from './LogReplica.js'
import type { ReadOutcome } from './ReadOutcome.js'

const RECORDS = 1_000
/** Size of a part of a snapshot. */
const RECORD_BYTES = 48 * 1024
/** A link of 10 Mbit/s. */
const LINK_BYTES_PER_MILLISECOND = 1_250
const TIME_LIMIT_MILLISECONDS = 120_000

/** A log behind a narrow link: an answer that takes longer than the timeout is lost. */
class NarrowLogClient extends LogClient {
	readBytes = 0

	constructor(private readonly timers: VirtualTimerService) {
		super()
	}

	override async read(
		from: number,
		limit: number,
		wait: number,
		timeout: number
	): Promise<ReadOutcome> {
		const count = Math.max(0, Math.min(limit, RECORDS - from))
		const duration = (count * RECORD_BYTES) / LINK_BYTES_PER_MILLISECOND
		await new Promise<void>((resolve) => {
			this.timers.after(Math.min(timeout, Math.max(1, count === 0 ? wait : duration)), resolve)
		})
		if (duration > timeout) return { type: 'failed', reason: 'no response' }
		this.readBytes += count * RECORD_BYTES
		const records = Array.from({ length: count }, (_, index) => {
			return { offset: from + index, at: 0, record: '{"kind":"unknown","id":"x"}' }
		})
		return { type: 'records', records }
	}

	override append(): Promise<AppendOutcome> {
		return Promise.resolve({ type: 'unknown', reason: 'not used' })
	}

	override close(): Promise<void> {
		return Promise.resolve()
	}
}

// Guards against a page that is too large for the link, and is asked for again in the same size for
// ever.
test('a daemon behind a narrow link reads a log of large records', async () => {
	const timers = new VirtualTimerService()
	const client = new NarrowLogClient(timers)
	const logger = createLogger({ level: 'error', stream: new PassThrough() })
	const follower = new LogFollower(timers, client, new LogReplica(logger), logger)
	const run = follower.run()
	for (let time = 0; time < TIME_LIMIT_MILLISECONDS && !follower.isCaughtUp; time += 10) {
		timers.advance(10)
		await new Promise((resolve) => setImmediate(resolve))
	}
	expect(follower.isCaughtUp).toBe(true)
	expect(client.readBytes).toBe(RECORDS * RECORD_BYTES)
	follower.stop()
	timers.advance(10_000)
	await run
})
