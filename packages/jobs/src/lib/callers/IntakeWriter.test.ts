import { VirtualTimerService } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { StreamFollower } from '../log/StreamFollower.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { IntakeWriter } from './IntakeWriter.js'

const RECORD = { key: 'job/1', value: '{}' }

describe('a submission while some streams do not answer', () => {
	it('is appended to another stream, which the next submission tries first', async () => {
		const { writer, store, advance } = createWriter()
		for (const stream of intakeStreams.slice(0, 3)) store.unavailableStreams.add(stream)
		const first = writer.write(RECORD, 3_000)
		await advance(500)
		expect(await first).toEqual({ kind: 'stored' })
		await advance(2_500)
		const second = writer.write({ ...RECORD, key: 'job/2' }, 6_000)
		await advance(20)
		expect(await second).toEqual({ kind: 'stored' })
	})

	it('is reported as unclear within 1 s if no stream answers', async () => {
		const { writer, store, advance } = createWriter()
		for (const stream of intakeStreams) store.unavailableStreams.add(stream)
		const answer = writer.write(RECORD, 3_000)
		await advance(1_000)
		expect(await answer).toHaveProperty('kind', 'unclear')
	})
})

it('writes a submission to one stream only if that stream answers', async () => {
	const { writer, store, advance } = createWriter()
	const answer = writer.write(RECORD, 3_000)
	await advance(2_000)
	expect(await answer).toEqual({ kind: 'stored' })
	const written = intakeStreams.filter((stream) => store.getEnd(stream) > 0)
	expect(written).toHaveLength(1)
})

it('waits longer for a slow log after its first answer', async () => {
	const { writer, log, advance } = createWriter()
	log.callLatency = 1_200
	const first = writer.write(RECORD, 5_000)
	await advance(1_300)
	expect(await first).toHaveProperty('kind', 'unclear')
	const second = writer.write({ ...RECORD, key: 'job/2' }, 5_000)
	await advance(1_300)
	expect(await second).toEqual({ kind: 'stored' })
})

// Guards against a refusal of which neither the caller nor the line learns the reason.
it('says that nothing was sent if the deadline has passed', async () => {
	const { writer, store, advance } = createWriter()
	await advance(100)
	const answer = writer.write(RECORD, 50)
	await advance(10)
	expect(await answer).toEqual({
		kind: 'not-stored',
		reason: 'the deadline passed before an append was sent',
	})
	expect(intakeStreams.filter((stream) => store.getEnd(stream) > 0)).toEqual([])
})

function createWriter(): {
	writer: IntakeWriter
	store: MemoryStore
	log: MemoryLog
	advance: (duration: number) => Promise<void>
} {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const log = new MemoryLog(store, timers)
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
	return { writer: new IntakeWriter(log, timers, events, followers), store, log, advance }
}
