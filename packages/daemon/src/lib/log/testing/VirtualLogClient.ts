import type { Milliseconds, TimerService } from '@mastichead/core'
import type { LogAppend } from '../LogAppend.js'
import { LogClient } from '../LogClient.js'
import type { LogRead } from '../LogRead.js'
import type { VirtualLog } from './VirtualLog.js'

/**
 * What is wrong between one daemon and the platform.
 *
 * - `none`: answers take `latency`; an append slower than its deadline takes effect all the same
 * - `down`: calls fail
 * - `silent`: calls are never answered and take no effect
 * - `lost`: appends take effect and their answers never come; reads work
 */
type Fault = 'none' | 'down' | 'silent' | 'lost'

/**
 * Client of a virtual log with switches for faults, for tests.
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
		deadline: Milliseconds
	): Promise<LogRead> {
		this.readCalls += 1
		const failed = await this.travel(deadline)
		if (failed !== undefined) return { type: 'failed', reason: failed }
		const left = deadline - this.latency
		if (from >= this.log.records.length && wait > 0) await this.waitForAppend(Math.min(wait, left))
		const isLate = from >= this.log.records.length && wait > left
		if (isLate) return { type: 'failed', reason: 'no answer' }
		if (from < this.log.first) return { type: 'expired', first: this.log.first }
		return { type: 'records', records: this.log.records.slice(from, from + limit) }
	}

	override async append(records: readonly string[], deadline: Milliseconds): Promise<LogAppend> {
		this.appendCalls += 1
		if (this.latency > deadline && this.fault !== 'down' && this.fault !== 'silent') {
			this.timers.after(this.latency, () => {
				this.log.append(records, this.timers.now())
			})
		}
		const failed = await this.travel(deadline)
		if (failed !== undefined) return { type: 'unknown', reason: failed }
		this.log.append(records, this.timers.now())
		if (this.fault !== 'lost') return { type: 'appended' }
		await this.sleep(deadline)
		return { type: 'unknown', reason: 'no answer' }
	}

	override close(): Promise<void> {
		this.fault = 'down'
		return Promise.resolve()
	}

	private async travel(deadline: Milliseconds): Promise<string | undefined> {
		const { fault } = this
		const isLate = fault === 'silent' || this.latency > deadline
		await this.sleep(isLate ? deadline : this.latency)
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
