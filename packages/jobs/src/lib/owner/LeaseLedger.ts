import type { BackendId, BackendRow } from '@mastichead/core'
import { JobRecords } from '../log/JobRecords.js'
import type { JobReplica } from '../log/JobReplica.js'
import type { RecordedLease } from '../log/RecordedLease.js'
import type { LogRecord } from '../ports/LogRecord.js'
import { LeaseTiming } from './LeaseTiming.js'
import type { OwnerContext } from './OwnerContext.js'
import type { ProgressWriter } from './ProgressWriter.js'

interface Suspension {
	/** Whether the record that allows renewals again is on its way to the log. */
	isEnding: boolean
}

/**
 * Knows until when leases on backend servers may hold, over all terms of ownership. While a server does
 * not answer, the log says that its leases are not renewed and how long they may still hold, so that
 * the next owner goes on with the time that is left. Renewals begin again only once the log says so.
 *
 * @internal
 */
export class LeaseLedger {
	/** Servers whose leases are not renewed, according to the log or to a record on its way. */
	private readonly suspensions = new Map<BackendId, Suspension>()
	/** Servers that earlier owners may have sent orders to, unless they were listed in this term. */
	private readonly inherited = new Set<BackendId>()
	/** What the log said when the term began. */
	private recorded: ReadonlyMap<BackendId, RecordedLease> = new Map()

	constructor(
		private readonly context: OwnerContext,
		private readonly writer: ProgressWriter,
		private readonly replica: JobReplica
	) {}

	/** Takes over what earlier owners have recorded. Called once all their records have been read. */
	begin(): void {
		this.replica.terms.recordTakeover(this.context.timers.now())
		this.recorded = new Map(this.replica.leases)
		for (const [id, { renewed }] of this.recorded) {
			if (!renewed) this.suspensions.set(id, { isEnding: false })
		}
	}

	/** Marks a server on which an earlier owner has placed tasks. */
	inherit({ id }: BackendRow): void {
		this.inherited.add(id)
	}

	/** Returns the time by which all leases on the server have expired, on the monotonic clock. */
	getExpiry({ id, leasesExpireBy }: BackendRow): number {
		if (!this.inherited.has(id)) return leasesExpireBy
		return Math.max(leasesExpireBy, this.getInheritedExpiry(id))
	}

	/** Whether leases on the server may be requested. */
	mayRenew({ id }: BackendRow): boolean {
		return !this.suspensions.has(id)
	}

	/** Handles the first listing of a term, after which the server refuses orders of earlier owners. */
	handleReconciled(row: BackendRow): void {
		if (!this.inherited.delete(row.id)) return
		const latestExpiry = LeaseTiming.getLatestExpiry(this.context.timers.now())
		const recorded = this.recorded.get(row.id)
		const longExpiry = recorded?.renewed ? recorded.expiresBy : -Infinity
		row.leasesExpireBy = Math.max(row.leasesExpireBy, latestExpiry, longExpiry)
	}

	/** Records that leases on the server are not renewed. Nothing may be sent there that extends them. */
	suspend(row: BackendRow): void {
		const suspension = this.suspensions.get(row.id)
		if (suspension && !suspension.isEnding) return
		this.suspensions.set(row.id, { isEnding: false })
		this.record(row)
		const remaining = Math.round(this.getExpiry(row) - this.context.timers.now())
		this.context.events.info('leases-suspended', { backend: row.id, remaining })
	}

	/** Records that leases on the server may be renewed, and calls `onResumed` once that is durable. */
	resume(row: BackendRow, onResumed: () => void): void {
		const suspension = this.suspensions.get(row.id)
		if (!suspension) {
			onResumed()
			return
		}
		if (suspension.isEnding) return
		suspension.isEnding = true
		this.record(row)
		this.writer.whenRecordDurable(JobRecords.getLeaseKey(row.id), () => {
			if (this.suspensions.get(row.id) !== suspension || !suspension.isEnding) return
			this.suspensions.delete(row.id)
			this.context.events.info('leases-resumed', { backend: row.id })
			onResumed()
		})
	}

	/** Records a lease that may be longer than those that owners request. */
	recordLongLease(row: BackendRow): void {
		this.record(row)
	}

	/** Drops the records about servers that have left and run nothing. */
	dropUnused(isUsed: (id: BackendId) => boolean): void {
		for (const id of this.replica.leases.keys()) if (!isUsed(id)) this.drop(id)
	}

	private drop(id: BackendId): void {
		const suspension = this.suspensions.get(id)
		if (suspension?.isEnding) return
		if (suspension) suspension.isEnding = true
		const key = JobRecords.getLeaseKey(id)
		this.writer.markRecordChanged(key, () => JobRecords.createLeaseTombstone(id))
		this.writer.whenRecordDurable(key, () => {
			if (this.suspensions.get(id) === suspension) this.suspensions.delete(id)
		})
	}

	private getInheritedExpiry(id: BackendId): number {
		const { terms } = this.replica
		const latestOrder = terms.getLatestOrder(this.context.token)
		const expiry = LeaseTiming.getLatestExpiry(latestOrder)
		const recorded = this.recorded.get(id)
		if (!recorded) return expiry
		if (recorded.renewed) return Math.max(expiry, recorded.expiresBy)
		return Math.min(expiry, recorded.expiresBy)
	}

	private record(row: BackendRow): void {
		const key = JobRecords.getLeaseKey(row.id)
		this.writer.markRecordChanged(key, () => this.createRecord(row))
	}

	private createRecord(row: BackendRow): LogRecord {
		const suspension = this.suspensions.get(row.id)
		const renewed = suspension?.isEnding ?? true
		const now = this.context.timers.now()
		const remaining = Math.max(0, Math.ceil(this.getExpiry(row) - now))
		const isUsual = renewed && now + remaining <= LeaseTiming.getLatestExpiry(now)
		if (isUsual) return JobRecords.createLeaseTombstone(row.id)
		return JobRecords.createLeaseRecord(row.id, { renewed, remaining })
	}
}
