import type { Milliseconds, ProposalId, Subscription, TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import type { LogClient } from './LogClient.js'

const BATCH_INTERVAL_MILLISECONDS = 20
const MAXIMUM_BATCH_RECORDS = 256
const MAXIMUM_BATCH_CHARACTERS = 512 * 1024
const MAXIMUM_QUEUED = 10_000
const FIRST_BACKOFF_MILLISECONDS = 100
const MAXIMUM_BACKOFF_MILLISECONDS = 2000
const FIRST_DEADLINE_MILLISECONDS = 3000
const MAXIMUM_DEADLINE_MILLISECONDS = 30_000
/** Factor of the deadline after an answer, so that a slow platform is not timed out each time. */
const DEADLINE_DECAY = 0.95

interface QueuedRecord {
	readonly id: ProposalId
	readonly record: string
	readonly onRefused: (reason: string) => void
	sent: boolean
}

/**
 * Appends records in batches, one call at a time. A record whose append may have been lost stays
 * queued and is sent again under the same id, until it is appended, refused or taken back.
 *
 * @internal
 */
export class LogAppender {
	private readonly queue = new Map<ProposalId, QueuedRecord>()
	private timer: Subscription | undefined
	private appending = false
	private stopped = false
	private batchRecords = MAXIMUM_BATCH_RECORDS
	private backoff: Milliseconds = 0
	private deadline: Milliseconds = FIRST_DEADLINE_MILLISECONDS

	constructor(
		private readonly timers: TimerService,
		private readonly client: LogClient,
		private readonly logger: Logger
	) {}

	/** @returns false when the queue is full */
	add(id: ProposalId, record: string, onRefused: (reason: string) => void): boolean {
		if (this.stopped || this.queue.size >= MAXIMUM_QUEUED) return false
		this.queue.set(id, { id, record, onRefused, sent: false })
		this.schedule(BATCH_INTERVAL_MILLISECONDS)
		return true
	}

	/** Sends a record no more. @returns whether it was sent before and may take effect */
	remove(id: ProposalId): boolean {
		const queued = this.queue.get(id)
		this.queue.delete(id)
		return queued?.sent ?? true
	}

	stop(): void {
		this.stopped = true
		this.timer?.cancel()
	}

	private schedule(delay: Milliseconds): void {
		if (this.timer || this.appending || this.stopped || this.queue.size === 0) return
		this.timer = this.timers.after(delay, () => {
			this.timer = undefined
			void this.append()
		})
	}

	private async append(): Promise<void> {
		const batch = this.takeBatch()
		if (batch.length === 0) return
		this.appending = true
		const records = batch.map(({ record }) => record)
		const askedAt = this.timers.now()
		const outcome = await this.client.append(records, this.deadline)
		this.appending = false
		switch (outcome.type) {
			case 'appended':
				this.forget(batch)
				this.batchRecords = MAXIMUM_BATCH_RECORDS
				this.backoff = 0
				this.deadline = Math.max(FIRST_DEADLINE_MILLISECONDS, this.deadline * DEADLINE_DECAY)
				break
			case 'refused':
				this.refuse(batch, outcome.reason)
				break
			case 'unknown':
				this.slowDown(outcome.reason, askedAt)
				break
		}
		this.schedule(Math.max(BATCH_INTERVAL_MILLISECONDS, this.backoff))
	}

	private takeBatch(): readonly QueuedRecord[] {
		const batch: QueuedRecord[] = []
		let characters = 0
		for (const queued of this.queue.values()) {
			characters += queued.record.length
			if (batch.length >= this.batchRecords) break
			if (batch.length > 0 && characters > MAXIMUM_BATCH_CHARACTERS) break
			queued.sent = true
			batch.push(queued)
		}
		return batch
	}

	/** A refused batch is sent again record by record, so that only the faulty ones fail. */
	private refuse(batch: readonly QueuedRecord[], reason: string): void {
		this.logger.warn('append-refused', { records: batch.length, reason })
		if (batch.length > 1) {
			this.batchRecords = 1
			return
		}
		this.forget(batch)
		for (const { onRefused } of batch) onRefused(reason)
	}

	private slowDown(reason: string, askedAt: Milliseconds): void {
		this.logger.warn('append-failed', { queued: this.queue.size, reason })
		this.backoff = Math.min(
			MAXIMUM_BACKOFF_MILLISECONDS,
			Math.max(FIRST_BACKOFF_MILLISECONDS, this.backoff * 2)
		)
		if (this.timers.now() - askedAt < this.deadline) return
		this.deadline = Math.min(MAXIMUM_DEADLINE_MILLISECONDS, this.deadline * 2)
	}

	private forget(batch: readonly QueuedRecord[]): void {
		for (const { id } of batch) this.queue.delete(id)
	}
}
