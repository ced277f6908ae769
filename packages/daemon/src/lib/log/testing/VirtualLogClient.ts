import type { Milliseconds, TimerService } from '@mastichead/core'
import type { AppendOutcome } from '../AppendOutcome.js'
import { LogClient } from '../LogClient.js'
import type { ReadOutcome } from '../ReadOutcome.js'
import type { VirtualLog } from './VirtualLog.js'

/**
 * Fault between one daemon and the platform.
 *
 * - `none`: responses take `latency`; an append slower than its timeout still takes effect
 * - `down`: calls fail
 * - `silent`: calls get no response and have no effect
 * - `lost`: appends take effect but their responses are lost; reads work
 */
type Fault = 'none' | 'down' | 'silent' | 'lost'

/**
 * Client of a virtual log with injected faults, for tests.
 *
 * @internal
 */
export class VirtualLogClient extends LogClient {
	fault: Fault = 'none'
	latency: Milliseconds = 2
	appendCalls = 0
	readCalls = 0

	constructor(
		private readonly timers: TimerService,
		private readonly log: VirtualLog
	) {
		super()
	}

	override async read(
		from: number,
		limit: number,
		wait: Milliseconds,
		timeout: Milliseconds
	): Promise<ReadOutcome> {
		this.readCalls += 1
		const failure = await this.simulateCall(timeout)
		if (failure !== undefined) return { type: 'failed', reason: failure }
		const remaining = timeout - this.latency
		if (from >= this.log.records.length && wait > 0)
			await this.waitForAppend(Math.min(wait, remaining))
		const isLate = from >= this.log.records.length && wait > remaining
		if (isLate) return { type: 'failed', reason: 'no answer' }
		if (from < this.log.firstOffset) return { type: 'expired', firstOffset: this.log.firstOffset }
		return { type: 'records', records: this.log.records.slice(from, from + limit) }
	}

	override async append(records: readonly string[], timeout: Milliseconds): Promise<AppendOutcome> {
		this.appendCalls += 1
		if (this.latency > timeout && this.fault !== 'down' && this.fault !== 'silent') {
			this.timers.after(this.latency, () => {
				this.log.append(records, this.timers.now())
			})
		}
		const failure = await this.simulateCall(timeout)
		if (failure !== undefined) return { type: 'unknown', reason: failure }
		this.log.append(records, this.timers.now())
		if (this.fault !== 'lost') return { type: 'appended' }
		await this.sleep(timeout)
		return { type: 'unknown', reason: 'no answer' }
	}

	override close(): Promise<void> {
		this.fault = 'down'
		return Promise.resolve()
	}

	private async simulateCall(timeout: Milliseconds): Promise<string | undefined> {
		const { fault } = this
		const isLate = fault === 'silent' || this.latency > timeout
		await this.sleep(isLate ? timeout : this.latency)
		if (isLate) return 'no answer'
		return fault === 'down' ? 'refused' : undefined
	}

	private waitForAppend(wait: Milliseconds): Promise<void> {
		return new Promise((resolve) => {
			const end = (): void => {
				timer.cancel()
				cancel()
				resolve()
			}
			const timer = this.timers.after(wait, end)
			const cancel = this.log.onAppend(end)
		})
	}

	private sleep(duration: Milliseconds): Promise<void> {
		return new Promise((resolve) => this.timers.after(duration, resolve))
	}
}
