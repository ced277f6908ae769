import type { TimerService } from '@mastichead/core'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { AppendResult } from '../ports/AppendResult.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { WriteVerdict } from './WriteVerdict.js'

/** Time for one append, in milliseconds. */
const APPEND_TIMEOUT = 700
/** Appends under way at once. */
const MAXIMUM_APPENDS = 2
/** Records in one append. */
const MAXIMUM_RECORDS = 100
/** Pause before an append that got no answer is repeated, in milliseconds. */
const RETRY_PAUSE = 50

interface Waiting {
	readonly record: LogRecord
	readonly deadline: number
	readonly resolve: (verdict: WriteVerdict) => void
}

/**
 * Appends what callers ask for to the intake. Records that come while appends are under way go
 * together into the next. Each record is idempotent: it can be appended more than once.
 *
 * @public
 */
export class IntakeWriter {
	private waiting: Waiting[] = []
	private appends = 0

	constructor(
		private readonly log: MetadataLog,
		private readonly timers: TimerService,
		private readonly follower: StreamFollower
	) {}

	/**
	 * @param deadline - instant by which the caller needs an answer
	 */
	write(record: LogRecord, deadline: number): Promise<WriteVerdict> {
		return new Promise((resolve) => {
			this.waiting.push({ record, deadline, resolve })
			this.flush()
		})
	}

	private flush(): void {
		while (this.appends < MAXIMUM_APPENDS && this.waiting.length > 0) {
			const batch = this.waiting.slice(0, MAXIMUM_RECORDS)
			this.waiting = this.waiting.slice(MAXIMUM_RECORDS)
			this.appends += 1
			void this.appendBatch(batch).finally(() => {
				this.appends -= 1
				this.flush()
			})
		}
	}

	private async appendBatch(batch: readonly Waiting[]): Promise<void> {
		const records = batch.map((entry) => entry.record)
		const deadline = Math.min(...batch.map((entry) => entry.deadline))
		let result = await this.append(records, deadline)
		let unclear = false
		while (result.kind === 'unknown' && this.timers.now() + RETRY_PAUSE < deadline) {
			unclear = true
			await new Promise<void>((resolve) => this.timers.after(RETRY_PAUSE, resolve))
			result = await this.append(records, deadline)
		}
		const verdict = getVerdict(result, unclear)
		for (const { resolve } of batch) resolve(verdict)
	}

	private async append(records: readonly LogRecord[], deadline: number): Promise<AppendResult> {
		const timeout = Math.max(1, Math.min(APPEND_TIMEOUT, deadline - this.timers.now()))
		const result = await this.log.append('intake', records, timeout)
		if (result.kind === 'appended') this.applyOwn(records, result.offset)
		return result
	}

	private applyOwn(records: readonly LogRecord[], offset: number): void {
		const entries = records.map((record, place) => ({ ...record, offset: offset + place }))
		// Others may have appended before: what lies between is still to be read.
		this.follower.applyOwn(entries, 0)
	}
}

function getVerdict(result: AppendResult, unclear: boolean): WriteVerdict {
	if (result.kind === 'appended') return { kind: 'stored' }
	if (result.kind === 'unknown' || unclear) return { kind: 'unclear', reason: result.reason }
	return { kind: 'not-stored', reason: result.reason }
}
