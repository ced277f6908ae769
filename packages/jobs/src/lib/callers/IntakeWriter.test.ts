import { describe, expect, it } from 'vitest'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { StreamFollower } from '../log/StreamFollower.js'
import type { IntakeRecord } from '../intake/IntakeRecord.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import type { AppendResult } from '../ports/AppendResult.js'
import { CountingTimerService } from '../testing/CountingTimerService.js'
import { createIdsAtHome } from '../testing/createIdsAtHome.js'
import { createTestRecord } from '../testing/createTestRecord.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { IntakeWriter } from './IntakeWriter.js'

const HOME = 'intake/0'
const [RECORD, OTHER_RECORD, THIRD_RECORD, ...MORE_RECORDS] = createIdsAtHome(HOME, 64).map((id) =>
	createTestRecord(id)
) as [IntakeRecord, IntakeRecord, IntakeRecord, ...IntakeRecord[]]
const [RECORD_ELSEWHERE] = createIdsAtHome('intake/3', 1).map((id) => createTestRecord(id)) as [
	IntakeRecord,
]

describe('a submission while some streams do not answer', () => {
	// Guards against an id with records in two streams, whose order nobody knows.
	it('is in no stream but its own, and is stored as soon as that one answers', async () => {
		const { writer, store, advance } = await createWriter()
		store.unavailableStreams.add(HOME)
		const first = writer.write(RECORD, 3_000)
		const elsewhere = writer.write(RECORD_ELSEWHERE, 3_000)
		await advance(1_000)
		expect(await first).toHaveProperty('kind', 'unclear')
		expect(await elsewhere).toEqual({ kind: 'stored' })
		expect(intakeStreams.filter((stream) => hasRecord(store, stream, RECORD))).toEqual([])
		store.unavailableStreams.delete(HOME)
		const second = writer.write(RECORD, 6_000)
		await advance(20)
		expect(await second).toEqual({ kind: 'stored' })
		expect(intakeStreams.filter((stream) => hasRecord(store, stream, RECORD))).toEqual([HOME])
	})

	it('is reported as unclear within 1 s if no stream answers', async () => {
		const { writer, store, advance } = await createWriter()
		for (const stream of intakeStreams) store.unavailableStreams.add(stream)
		const answer = writer.write(RECORD, 3_000)
		await advance(1_000)
		expect(await answer).toHaveProperty('kind', 'unclear')
	})
})

describe('submissions while the log is out of reach', () => {
	it('are refused at once and truly, but for one batch at a time that tries the log', async () => {
		const { writer, store, advance } = await createWriter()
		for (const stream of intakeStreams) store.unavailableStreams.add(stream)
		const first = writer.write(RECORD, 10_000)
		await advance(3_000)
		expect(await first).toHaveProperty('kind', 'unclear')
		const probe = writer.write(RECORD, 10_000)
		const other = writer.write(OTHER_RECORD, 10_000)
		await advance(5)
		expect(await other).toEqual({ kind: 'not-stored', reason: 'log out of reach' })
		await advance(3_000)
		expect(await probe).toHaveProperty('kind', 'unclear')
		store.unavailableStreams.clear()
		await advance(5_000)
		expect(intakeStreams.some((stream) => hasRecord(store, stream, OTHER_RECORD))).toBe(false)
	})

	// Guards against 504 for each stream in turn while none of them answers.
	it('are refused for the streams that have not been tried as well', async () => {
		const { writer, store, timers, advance } = await createWriter()
		for (const stream of intakeStreams) store.unavailableStreams.add(stream)
		const tried = createRecordsAtHomes(['intake/0', 'intake/1', 'intake/2'])
		void tried.map((record) => writer.write(record, timers.now() + 3_000))
		await advance(1_000)
		void writer.write(RECORD, timers.now() + 3_000)
		const untried = writer.write(RECORD_ELSEWHERE, timers.now() + 3_000)
		await advance(5)
		expect(await untried).toEqual({ kind: 'not-stored', reason: 'log out of reach' })
	})

	it('are stored again as soon as one has got through', async () => {
		const { writer, store, advance } = await createWriter()
		for (const stream of intakeStreams) store.unavailableStreams.add(stream)
		void writer.write(RECORD, 10_000)
		await advance(3_000)
		store.unavailableStreams.clear()
		const answers = [writer.write(RECORD, 10_000)]
		await advance(50)
		answers.push(writer.write(OTHER_RECORD, 10_000), writer.write(THIRD_RECORD, 10_000))
		await advance(50)
		expect(await Promise.all(answers)).toEqual(Array(3).fill({ kind: 'stored' }))
	})
})

it('writes a submission to one stream only if that stream answers', async () => {
	const { writer, store, advance } = await createWriter()
	const answer = writer.write(RECORD, 3_000)
	await advance(2_000)
	expect(await answer).toEqual({ kind: 'stored' })
	const written = intakeStreams.filter((stream) => store.getEnd(stream) > 0)
	expect(written).toHaveLength(1)
})

it('waits longer for a slow log after its first answer', async () => {
	const { writer, log, advance } = await createWriter()
	log.callLatency = 1_200
	const first = writer.write(RECORD, 5_000)
	await advance(1_300)
	expect(await first).toHaveProperty('kind', 'unclear')
	const second = writer.write(OTHER_RECORD, 5_000)
	await advance(1_300)
	expect(await second).toEqual({ kind: 'stored' })
})

// Guards against 504 for a batch because one of its callers has hardly any time left.
it('a caller with little time left does not shorten the time of the others in its batch', async () => {
	const { writer, log, timers, advance } = await createWriter()
	log.callLatency = 30
	const blocking = occupy(writer)
	const short = writer.write(RECORD, timers.now() + 35)
	const long = writer.write(OTHER_RECORD, 3_000)
	await advance(100)
	await Promise.all(blocking)
	expect(await short).toHaveProperty('kind', 'unclear')
	expect(await long).toEqual({ kind: 'stored' })
})

// Guards against "not stored" for a record whose append was not answered, if the process lags behind its timers.
it('says not-stored only if no append can have stored the record', async () => {
	const { writer, log, timers, advance } = await createWriter()
	log.append = async (): Promise<AppendResult> => {
		await log.pause(10)
		timers.lag = 2_000
		return { kind: 'unknown', reason: 'connection reset' }
	}
	const answer = writer.write(RECORD, 5_000)
	await advance(1_000)
	expect(await answer).toHaveProperty('kind', 'unclear')
})

// Guards against a refusal without a reason, which was logged for two submissions of the incident.
it('a submission whose time is over is refused with a reason, and appends nothing', async () => {
	const { writer, store, advance } = await createWriter()
	await advance(10)
	const answer = writer.write(RECORD, 9)
	await advance(20)
	expect(await answer).toEqual({ kind: 'not-stored', reason: 'no time left to append' })
	expect(intakeStreams.filter((stream) => store.getEnd(stream) > 0)).toEqual([])
})

// Guards against a caller without an answer while its record waits for appends that are not answered.
it('a submission that waits for other appends is refused by its deadline, and never appended', async () => {
	const { writer, store, log, timers, advance } = await createWriter()
	log.callLatency = 600
	const blocking = occupy(writer)
	const answer = writer.write(RECORD, timers.now() + 300)
	await advance(300)
	expect(await Promise.race([answer, Promise.resolve('no answer')])).toHaveProperty(
		'kind',
		'not-stored'
	)
	await advance(2_000)
	await Promise.all(blocking)
	expect(intakeStreams.some((stream) => hasRecord(store, stream, RECORD))).toBe(false)
})

// Guards against timers that stay behind for every submission.
it('leaves no timers behind', async () => {
	const { writer, timers, advance } = await createWriter()
	const answer = writer.write(RECORD, 3_000)
	await advance(20)
	expect(await answer).toEqual({ kind: 'stored' })
	expect(timers.pendingCount).toBe(0)
})

// Guards against submissions that are refused because the call in which they are sent is too large.
it('sends large submissions in several appends', async () => {
	const { writer, store, log, advance } = await createWriter()
	const sizes: number[] = []
	const append = log.append.bind(log)
	log.append = (stream, records, timeout) => {
		sizes.push(records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0))
		return append(stream, records, timeout)
	}
	const value = 'x'.repeat(100_000)
	const answers = createIdsAtHome(HOME, 64).map((id) =>
		writer.write(createTestRecord(id, value), 3_000)
	)
	await advance(500)
	expect(new Set((await Promise.all(answers)).map(({ kind }) => kind))).toEqual(new Set(['stored']))
	expect(Math.max(...sizes)).toBeLessThanOrEqual(350_000)
	expect(store.getEnd('intake/0')).toBe(64)
})

/** Creates a record at home in each stream. */
function createRecordsAtHomes(streams: readonly IntakeStream[]): IntakeRecord[] {
	return streams.flatMap((stream) => createIdsAtHome(stream, 1).map((id) => createTestRecord(id)))
}

/** Starts as many appends as may be in flight, so that later records wait. */
function occupy(writer: IntakeWriter): Promise<unknown>[] {
	return MORE_RECORDS.slice(0, 4).map((record) => writer.write(record, 5_000))
}

/** Loads all streams, and leaves no read behind. */
async function loadAll(
	followers: readonly StreamFollower[],
	advance: (duration: number) => Promise<void>
): Promise<void> {
	for (const follower of followers) follower.start()
	await advance(20)
	for (const follower of followers) follower.stop()
	await advance(20)
}

class PausableLog extends MemoryLog {
	pause(duration: number): Promise<void> {
		return this.sleep(duration)
	}
}

async function createWriter(): Promise<{
	writer: IntakeWriter
	store: MemoryStore
	log: PausableLog
	timers: CountingTimerService
	advance: (duration: number) => Promise<void>
}> {
	const timers = new CountingTimerService()
	const store = new MemoryStore()
	const log = new PausableLog(store, timers)
	const events = new SilentEventLog()
	const options = { maximumWait: 0, getPollDelay: () => 0 }
	const followers = new Map(
		intakeStreams.map((stream) => [
			stream,
			new StreamFollower(stream, log, timers, events, () => undefined, options),
		])
	)
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	await loadAll([...followers.values()], advance)
	const writer = new IntakeWriter(log, timers, events, followers, 'm1')
	return { writer, store, log, timers, advance }
}

function hasRecord(store: MemoryStore, stream: IntakeStream, record: IntakeRecord): boolean {
	return store.getEntries(stream).some(({ key }) => key.startsWith(`${record.keyPrefix}/`))
}
