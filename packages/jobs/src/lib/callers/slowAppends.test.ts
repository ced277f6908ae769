import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { StreamFollower } from '../log/StreamFollower.js'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import type { AppendResult } from '../ports/AppendResult.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { LogStream } from '../ports/LogStream.js'
import { createTestRecord } from '../testing/createTestRecord.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { IntakeWriter } from './IntakeWriter.js'

const INSTANCES = 90
/** Time that each stream of the slow log takes for one append, and the way there and back. */
const APPEND_TIME = 47
const CALL_LATENCY = 94
/** Milliseconds between two submissions over all instances, and the length of the slow phase. */
const SUBMISSION_INTERVAL = 20
const PHASE = 6_000
/** Time in which the instances load the empty streams, in milliseconds. */
const LOAD_TIME = 1_000
/** Time in which a caller needs an answer, in milliseconds. */
const CALLER_TIMEOUT = 3_000

// Guards against a slow log that stores hardly any submission, because all instances append to the
// same stream first and then, all alike, to the next one.
it('stores nearly all submissions of many instances in a log that is slow in each stream', async () => {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const busyUntil = new Map<LogStream, number>()
	const writers = Array.from({ length: INSTANCES }, (_, number) => {
		const log = new SerialLog(store, timers, busyUntil)
		log.callLatency = CALL_LATENCY
		return createWriter(log, timers, `instance-${number}`)
	})
	const results: string[] = []
	const advance = async (): Promise<void> => {
		timers.advance(1)
		await new Promise((resolve) => setImmediate(resolve))
	}
	for (let at = 0; at < LOAD_TIME; at += 1) await advance()
	for (let at = 0; at < PHASE + CALLER_TIMEOUT; at += 1) {
		if (at < PHASE && at % SUBMISSION_INTERVAL === 0) {
			const number = at / SUBMISSION_INTERVAL
			const writer = writers[(number * 37) % INSTANCES]
			const record = createTestRecord(number.toString(16).padStart(16, '0'))
			void writer?.write(record, timers.now() + CALLER_TIMEOUT).then(({ kind }) => {
				results.push(kind)
			})
		}
		await advance()
	}
	const stored = results.filter((kind) => kind === 'stored')
	expect(stored.length / (PHASE / SUBMISSION_INTERVAL)).toBeGreaterThan(0.9)
}, 60_000)

/** Log whose streams carry out one append at a time, for all instances together. */
class SerialLog extends MemoryLog {
	constructor(
		store: MemoryStore,
		private readonly clock: VirtualTimerService,
		private readonly busyUntil: Map<LogStream, number>
	) {
		super(store, clock)
	}

	override async append(
		stream: LogStream,
		records: readonly LogRecord[],
		timeout: number
	): Promise<AppendResult> {
		await this.sleep(this.callLatency)
		const endsAt = Math.max(this.clock.now(), this.busyUntil.get(stream) ?? 0) + APPEND_TIME
		this.busyUntil.set(stream, endsAt)
		const result = super.append(stream, records, timeout)
		await this.sleep(endsAt - this.clock.now())
		return result
	}
}

function createWriter(log: MemoryLog, timers: VirtualTimerService, member: string): IntakeWriter {
	const events = new SilentEventLog()
	const options = { maximumWait: 2_000, getPollDelay: () => 1_500 }
	const followers = new Map(
		intakeStreams.map((stream) => {
			const follower = new StreamFollower(stream, log, timers, events, () => undefined, options)
			follower.start()
			return [stream, follower] as const
		})
	)
	return new IntakeWriter(log, timers, events, followers, member)
}
