import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import type { LogStream } from '../ports/LogStream.js'
import type { ReadNewestResult } from '../ports/ReadNewestResult.js'
import { JsonTestFormat } from '../testing/JsonTestFormat.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { createTestContext } from '../testing/createTestContext.js'
import { BackendRegistry } from './BackendRegistry.js'

/** Time for which the log is silent from the start of the term on, in milliseconds. */
const OUTAGE = 6_000
/** Time after the outage in which the registry must be read, in milliseconds. */
const MAXIMUM_DELAY = 1_200

// Guards against a new owner that moves no machine for 3 s after an outage of the log, because it waits
// for the answer to a load that the log lost at the end of the outage.
it('the registry is read soon after an outage that lasted when the term began', async () => {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const log = new SilentLog(store, timers)
	const format = new JsonTestFormat(new Map())
	const registry = new BackendRegistry(createTestContext(timers), log, format, () => undefined)
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	log.silent = true
	registry.follower.start()
	await advance(OUTAGE)
	expect(registry.isFresh()).toBe(false)
	log.silent = false
	await advance(MAXIMUM_DELAY)
	expect(registry.isFresh()).toBe(true)
	registry.follower.stop()
})

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
}
