import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { ConcurrencyLimit } from '../ConcurrencyLimit.js'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import type { LogStream } from '../ports/LogStream.js'
import type { ReadNewestResult } from '../ports/ReadNewestResult.js'
import type { ReadResult } from '../ports/ReadResult.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { StreamFollower } from './StreamFollower.js'

const INSTANCES = 90
const STREAMS: readonly LogStream[] = ['progress', 'intake/0', 'intake/1', 'intake/2', 'intake/3']
const PAGES = 2
/** Time that the log takes for one page of 1 MB, at 80 MB/s for all readers together. */
const PAGE_TIME = 12.5
/** Time in which an answer must begin, unless the caller names another. */
const ANSWER_TIMEOUT = 900
/** Time in which every instance must have the state again after a loss of power, in milliseconds. */
const MAXIMUM_LOAD_TIME = 15_000

// Guards against instances that never have the state again after all have lost power: they read at the
// same time, none was answered in time, and what the log still read for calls that had been given up
// held up the next ones.
it('all instances load the state at the same time from a log with a limited rate', async () => {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	for (const stream of STREAMS) {
		const keys = Array.from({ length: PAGES * 2 }, (_, number) => `key-${number}`)
		store.append(
			stream,
			keys.map((key) => ({ key, value: 'x' }))
		)
	}
	const rate = { busyUntil: 0 }
	const followers = Array.from({ length: INSTANCES }, () => {
		const log = new SharedLog(store, timers, rate)
		log.pageSize = 2
		const loadLimit = new ConcurrencyLimit(1)
		return STREAMS.map((stream) => createFollower(stream, log, timers, loadLimit))
	}).flat()
	for (const follower of followers) follower.start()
	for (let elapsed = 0; elapsed < MAXIMUM_LOAD_TIME; elapsed += 1) {
		timers.advance(1)
		await new Promise((resolve) => setImmediate(resolve))
	}
	expect(followers.filter(({ loaded }) => !loaded)).toHaveLength(0)
}, 60_000)

/** Log that reads for all instances one after the other, also for those that have given up. */
class SharedLog extends MemoryLog {
	constructor(
		store: MemoryStore,
		private readonly clock: VirtualTimerService,
		private readonly rate: { busyUntil: number }
	) {
		super(store, clock)
	}

	override async readNewest(
		stream: LogStream,
		lastKey?: string,
		answerTimeout = ANSWER_TIMEOUT
	): Promise<ReadNewestResult> {
		if (!(await this.waitForTurn(PAGE_TIME, answerTimeout)))
			return { kind: 'unavailable', reason: 'no answer' }
		return super.readNewest(stream, lastKey)
	}

	override async read(
		stream: LogStream,
		from: number,
		wait: number,
		answerTimeout = ANSWER_TIMEOUT
	): Promise<ReadResult> {
		if (!(await this.waitForTurn(0, answerTimeout)))
			return { kind: 'unavailable', reason: 'no answer' }
		return super.read(stream, from, wait)
	}

	/** Resolves to whether the turn came within the timeout. */
	private async waitForTurn(duration: number, answerTimeout: number): Promise<boolean> {
		const now = this.clock.now()
		this.rate.busyUntil = Math.max(now, this.rate.busyUntil) + duration
		const wait = this.rate.busyUntil - now
		await this.sleep(Math.min(wait, answerTimeout))
		return wait <= answerTimeout
	}
}

function createFollower(
	stream: LogStream,
	log: MemoryLog,
	timers: VirtualTimerService,
	loadLimit: ConcurrencyLimit
): StreamFollower {
	const options = { maximumWait: 1_000, getPollDelay: () => 120, loadLimit }
	return new StreamFollower(stream, log, timers, new SilentEventLog(), () => undefined, options)
}
