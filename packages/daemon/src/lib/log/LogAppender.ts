import type { Milliseconds, ProposalId, Subscription, TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import type { LogClient } from './LogClient.js'

const BATCH_INTERVAL_MILLISECONDS = 20
const MAXIMUM_BATCH_RECORDS = 256
const MAXIMUM_BATCH_CHARACTERS = 512 * 1024
const MAXIMUM_QUEUED_RECORDS = 10_000
const INITIAL_BACKOFF_MILLISECONDS = 100
const MAXIMUM_BACKOFF_MILLISECONDS = 2000
const MINIMUM_TIMEOUT_MILLISECONDS = 3000
const MAXIMUM_TIMEOUT_MILLISECONDS = 30_000
/**
 * Factor applied to the timeout after each success. The timeout falls slowly, so that a slow
 * platform does not cause a timeout on every call.
 */
const TIMEOUT_DECAY_FACTOR = 0.95

interface QueuedRecord {
	readonly id: ProposalId
	readonly record: string
	readonly onRefused: (reason: string) => void
	wasSent: boolean
}

/**
 * Appends records in batches, one call at a time. A record whose append has an unknown outcome
 * stays queued and is sent again with the same proposal id until it is appended, refused or
 * removed.
 *
 * @internal
 */
export class LogAppender {
	private readonly queue = new Map<ProposalId, QueuedRecord>()
	private timer: Subscription | undefined
	private isAppending = false
	private isStopped = false
	/** Maximum records in the next batch; 1 after a batch was refused. */
	private batchLimit = MAXIMUM_BATCH_RECORDS
	private backoff: Milliseconds = 0
	private timeout: Milliseconds = MINIMUM_TIMEOUT_MILLISECONDS

	constructor(
		private readonly timers: TimerService,
		private readonly client: LogClient,
		private readonly logger: Logger
	) {}

	/**
	 * Queues a record.
	 *
	 * @returns false if the queue is full or the appender has stopped
	 */
	add(id: ProposalId, record: string, onRefused: (reason: string) => void): boolean {
		if (this.isStopped || this.queue.size >= MAXIMUM_QUEUED_RECORDS) return false
		this.queue.set(id, { id, record, onRefused, wasSent: false })
		this.schedule(BATCH_INTERVAL_MILLISECONDS)
		return true
	}

	/**
	 * Removes a record from the queue.
	 *
	 * @returns whether it was sent and may take effect; true as well if it is not queued
	 */
	remove(id: ProposalId): boolean {
		const queued = this.queue.get(id)
		this.queue.delete(id)
		return queued?.wasSent ?? true
	}

	stop(): void {
		this.isStopped = true
		this.timer?.cancel()
	}

	private schedule(delay: Milliseconds): void {
		if (this.timer || this.isAppending || this.isStopped || this.queue.size === 0) return
		this.timer = this.timers.after(delay, () => {
			this.timer = undefined
			void this.appendBatch()
		})
	}

	private async appendBatch(): Promise<void> {
		const batch = this.selectBatch()
		if (batch.length === 0) return
		this.isAppending = true
		const records = batch.map(({ record }) => record)
		const sentAt = this.timers.now()
		const outcome = await this.client.append(records, this.timeout)
		this.isAppending = false
		switch (outcome.type) {
			case 'appended':
				this.dequeue(batch)
				this.batchLimit = MAXIMUM_BATCH_RECORDS
				this.backoff = 0
				this.timeout = Math.max(MINIMUM_TIMEOUT_MILLISECONDS, this.timeout * TIMEOUT_DECAY_FACTOR)
				break
			case 'refused':
				this.handleRefusal(batch, outcome.reason)
				break
			case 'unknown':
				this.increaseBackoff(outcome.reason, sentAt)
				break
		}
		this.schedule(Math.max(BATCH_INTERVAL_MILLISECONDS, this.backoff))
	}

	private selectBatch(): readonly QueuedRecord[] {
		const batch: QueuedRecord[] = []
		let characters = 0
		for (const queued of this.queue.values()) {
			characters += queued.record.length
			if (batch.length >= this.batchLimit) break
			if (batch.length > 0 && characters > MAXIMUM_BATCH_CHARACTERS) break
			queued.wasSent = true
			batch.push(queued)
		}
		return batch
	}

	/** Retries a refused batch record by record, so that only the invalid records fail. */
	private handleRefusal(batch: readonly QueuedRecord[], reason: string): void {
		this.logger.warn('append-refused', { records: batch.length, reason })
		if (batch.length > 1) {
			this.batchLimit = 1
			return
		}
		this.dequeue(batch)
		for (const { onRefused } of batch) onRefused(reason)
	}

	/** Doubles the backoff, and also the timeout if the call timed out. */
	private increaseBackoff(reason: string, sentAt: Milliseconds): void {
		this.logger.warn('append-failed', { queued: this.queue.size, reason })
		this.backoff = Math.min(
			MAXIMUM_BACKOFF_MILLISECONDS,
			Math.max(INITIAL_BACKOFF_MILLISECONDS, this.backoff * 2)
		)
		if (this.timers.now() - sentAt < this.timeout) return
		this.timeout = Math.min(MAXIMUM_TIMEOUT_MILLISECONDS, this.timeout * 2)
	}

	private dequeue(batch: readonly QueuedRecord[]): void {
		for (const { id } of batch) this.queue.delete(id)
	}
}
