import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import type { LogRecord } from '../../ports/LogRecord.js'
import type { LogStream } from '../../ports/LogStream.js'
import type { ReadNewestResult } from '../../ports/ReadNewestResult.js'
import type { ReadResult } from '../../ports/ReadResult.js'
import { JsonTestFormat } from '../../testing/JsonTestFormat.js'
import { MemoryLog } from '../../testing/MemoryLog.js'
import { MemoryStore } from '../../testing/MemoryStore.js'
import { createTestContext } from '../../testing/createTestContext.js'
import { BackendRegistry } from './BackendRegistry.js'

/** Time for which the log is silent from the start of the term on, in milliseconds. */
const OUTAGE = 6_000
/** Time after the outage in which the registry must be read, in milliseconds. */
const MAXIMUM_DELAY = 1_200
/** Time for which a log that is lost again and again is silent each time, and all in all, in milliseconds. */
const LOSS = 600
const FLAPPING_TIME = 12_000
/** Time after its wait in which a read is answered, in milliseconds. */
const READ_TIMEOUT = 300

// Guards against a new owner that moves no machine for 3 s after an outage of the log, because it waits
// for the answer to a load that the log lost at the end of the outage.
it('the registry is read soon after an outage that lasted when the term began', async () => {
	const { registry, log, advance } = createTestRegistry()
	log.silent = true
	registry.follower.start()
	await advance(OUTAGE)
	expect(registry.isFresh()).toBe(false)
	log.silent = false
	await advance(MAXIMUM_DELAY)
	expect(registry.isFresh()).toBe(true)
	registry.follower.stop()
})

// Guards against a server that has left and counts in its pool for as long as the log is lost again and again,
// because the time for it to register anew started over each time.
it.each([1_500, 1_800, 2_400])(
	'a server that left is deregistered although the log is lost every %i ms',
	async (interval) => {
		const { registry, log, store, context, advance } = createTestRegistry()
		store.append('backends', [createRegistration('b1'), createRegistration('b2')])
		registry.follower.start()
		await advance(1_000)
		const left = context.backends.get('b2')
		expect(left?.registered).toBe(true)
		log.silent = true
		store.append('backends', [{ key: 'b2', value: undefined }])
		for (let waited = 0; waited < FLAPPING_TIME; waited += interval + LOSS) {
			log.silent = true
			await advance(LOSS)
			log.silent = false
			await advance(interval)
		}
		expect(left?.registered).toBe(false)
		expect(context.backends.get('b1')?.registered).toBe(true)
		registry.follower.stop()
	}
)

// Guards against a server that is taken for gone although it registers anew in the time that it has after an
// outage, because the time in which the log was lost again was counted.
it('a server whose registration expired in an outage has its time after it, also if the log is lost again', async () => {
	const { registry, log, store, context, advance } = createTestRegistry()
	store.append('backends', [createRegistration('b1')])
	registry.follower.start()
	await advance(1_000)
	const changes: boolean[] = []
	log.silent = true
	store.append('backends', [{ key: 'b1', value: undefined }])
	await advance(LOSS)
	for (let loss = 0; loss < 2; loss += 1) {
		log.silent = false
		await advance(800)
		changes.push(context.backends.get('b1')?.registered ?? false)
		log.silent = true
		await advance(3 * LOSS)
		changes.push(context.backends.get('b1')?.registered ?? false)
	}
	log.silent = false
	store.append('backends', [createRegistration('b1')])
	await advance(2_500)
	changes.push(context.backends.get('b1')?.registered ?? false)
	expect(changes).toEqual([true, true, true, true, true])
	registry.follower.stop()
})

function createTestRegistry() {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const log = new SilentLog(store, timers)
	const context = createTestContext(timers)
	const format = new JsonTestFormat(new Map())
	const registry = new BackendRegistry(context, {
		log,
		format,
		onChange: () => undefined,
		isAwaitingBackends: () => false,
	})
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	return { registry, log, store, context, advance }
}

function createRegistration(id: string): LogRecord {
	const registration = {
		id,
		machine: `machine-${id}`,
		service: 'desk',
		address: `10.0.0.1:${id}`,
		zone: 'a',
		labels: [],
		capacity: { cpu: 16_000, memory: 64_000, gpu: 0 },
		draining: false,
		incarnation: 1,
	}
	return { key: id, value: JSON.stringify(registration) }
}

/** Loses requests while it is silent, so that their callers wait for the whole timeout. */
class SilentLog extends MemoryLog {
	silent = false

	override async readNewest(
		stream: LogStream,
		lastKey?: string,
		answerTimeout = 0
	): Promise<ReadNewestResult> {
		if (!this.silent) return super.readNewest(stream, lastKey)
		await this.sleep(answerTimeout)
		return { kind: 'unavailable', reason: 'no answer' }
	}
	override async read(stream: LogStream, from: number, wait: number): Promise<ReadResult> {
		if (!this.silent) {
			const result = await super.read(stream, from, wait)
			if (!this.isSilent()) return result
		} else await this.sleep(wait + READ_TIMEOUT)
		return { kind: 'unavailable', reason: 'no answer' }
	}

	private isSilent(): boolean {
		return this.silent
	}
}
