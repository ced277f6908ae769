import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import type { AppendResult } from '../../ports/AppendResult.js'
import type { LogFence } from '../../ports/LogFence.js'
import type { LogRecord } from '../../ports/LogRecord.js'
import type { LogStream } from '../../ports/LogStream.js'
import { MemoryLog } from '../../testing/MemoryLog.js'
import { MemoryStore } from '../../testing/MemoryStore.js'
import { createTestRecovery } from '../../testing/createTestRecovery.js'

/** Time that an append waits in the queue of its partition, in milliseconds. */
const APPEND_DURATION = 1_500

/** A log whose appends wait in a queue; the answer after the timeout is lost. */
class QueueingLog extends MemoryLog {
	constructor(
		store: MemoryStore,
		private readonly clock: VirtualTimerService
	) {
		super(store, clock)
	}

	override async append(
		stream: LogStream,
		records: readonly LogRecord[],
		timeout: number,
		fence?: LogFence
	): Promise<AppendResult> {
		const result = super.append(stream, records, timeout, fence)
		await new Promise<void>((resolve) => {
			this.clock.after(Math.min(timeout, APPEND_DURATION), resolve)
		})
		return timeout < APPEND_DURATION ? { kind: 'unknown', reason: 'no answer' } : result
	}
}

// Guards against a term that never begins while appends wait longer than a fixed timeout.
it('raises the fence also if the log answers each append late', async () => {
	const timers = new VirtualTimerService()
	const { recovery } = createTestRecovery(timers, new QueueingLog(new MemoryStore(), timers))
	let goesOn: boolean | undefined
	void recovery.readEarlierTerms().then((result) => {
		goesOn = result
	})
	for (let step = 0; step < 5_000; step += 1) {
		timers.advance(1)
		await new Promise((resolve) => setImmediate(resolve))
	}
	expect(goesOn).toBe(true)
})
