import type { BackendId, BackendRow, TaskRow } from '@mastichead/core'
import { JobRecords } from '../../log/JobRecords.js'
import type { JobReplica } from '../../log/JobReplica.js'
import type { RecordedLease } from '../../log/RecordedLease.js'
import type { LogRecord } from '../../ports/LogRecord.js'
import { LeaseTiming } from './LeaseTiming.js'
import type { OwnerContext } from '../terms/OwnerContext.js'
import type { ProgressWriter } from '../terms/ProgressWriter.js'

/** Minimum time between two records of the time that is left, in milliseconds. */
const RECORD_INTERVAL = 1_000

interface Suspension {
	/** Whether the record that allows renewals again is on its way to the log. */
	isEnding: boolean
	/** Time at which the time that is left was last recorded in this term. */
	recordedAt: number
	/** Time that was left then, in milliseconds. */
	recordedRemaining: number
	/** Whether the log may say that the leases are not renewed. */
	isWritten: boolean
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
	/** Starts of the servers' processes that earlier owners have recorded. */
	private readonly incarnations = new Map<BackendId, number>()
	/** What the log said when the term began. */
	private recorded: ReadonlyMap<BackendId, RecordedLease> = new Map()

	constructor(
		private readonly context: OwnerContext,
		private readonly writer: ProgressWriter,
		private readonly replica: JobReplica
	) {}

	/** Takes over what earlier owners have recorded. Called once all their records have been read. */
	begin(): void {
		const unrecordedTerms = this.replica.terms.recordTakeover(this.context.timers.now())
		for (const token of unrecordedTerms) this.recordTerm(token)
		this.recorded = new Map(this.replica.leases)
		for (const [id, lease] of this.recorded) {
			if (lease.renewed) this.recordAgain(id, lease)
			else this.suspensions.set(id, { ...createSuspension(), isWritten: true })
		}
		for (const [id, { incarnation }] of this.replica.backends)
			this.incarnations.set(id, incarnation)
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

	/**
	 * Whether the run of a task is over once the leases on its server have expired. An earlier owner may
	 * have sent its start order without an answer to a process that had just started again, which
	 * granted a longer lease.
	 */
	isOver({
		orderState,
		orderStateChangedAt,
	}: Pick<TaskRow, 'orderState' | 'orderStateChangedAt'>): boolean {
		if (orderState !== 'inherited') return true
		const latestOrder = Math.min(
			this.replica.terms.getLatestOrder(this.context.token),
			LeaseTiming.getLatestOrder(orderStateChangedAt)
		)
		return this.context.timers.now() >= LeaseTiming.getLatestStartExpiry(latestOrder)
	}

	/** Whether leases on the server may be requested. */
	mayRenew({ id }: BackendRow): boolean {
		return !this.suspensions.has(id)
	}

	/**
	 * Handles the first listing of a term, after which the server refuses orders of earlier owners. They
	 * may have asked a process that has started since for a lease on the clock of the one before.
	 */
	handleReconciled(row: BackendRow): void {
		const isInherited = this.inherited.delete(row.id)
		const now = this.context.timers.now()
		const knownIncarnation = this.incarnations.get(row.id) ?? row.incarnation
		if (knownIncarnation !== row.incarnation) {
			this.recordLongLease(row)
			return
		}
		const recorded = this.recorded.get(row.id)
		const recordedExpiry = recorded?.renewed === true ? recorded.expiresBy : 0
		const usualExpiry = isInherited ? LeaseTiming.getLatestExpiry(now) : 0
		row.leasesExpireBy = Math.max(row.leasesExpireBy, usualExpiry, recordedExpiry)
		if (recordedExpiry > 0) this.recordUntilExpiry(row)
	}

	/**
	 * Handles a changed registration. It may show a restart before a listing does, and the next owner
	 * must not learn of the restart without the longer lease.
	 */
	handleRegistration(row: BackendRow, incarnation: number | undefined): void {
		if (!row.reconciled) return
		if (incarnation !== undefined && incarnation !== row.incarnation) this.recordLongLease(row)
	}

	/**
	 * Records that leases on the server are not renewed; nothing may be sent there that extends them. A
	 * further call records the time that is left now, for instances that start meanwhile.
	 */
	suspend(row: BackendRow): void {
		const existing = this.suspensions.get(row.id)
		if (existing && !existing.isEnding) {
			this.recordRemaining(row, existing)
			return
		}
		const suspension = { ...createSuspension(), isWritten: existing?.isWritten ?? false }
		this.suspensions.set(row.id, suspension)
		this.recordRemaining(row, suspension)
		const remaining = suspension.recordedRemaining
		this.context.events.info('leases-suspended', { backend: row.id, remaining })
	}

	/** Records that leases on the server may be renewed, and calls `onResumed` once that is durable. */
	resume(row: BackendRow, onResumed: () => void): void {
		const suspension = this.suspensions.get(row.id)
		if (!suspension?.isWritten) {
			this.suspensions.delete(row.id)
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

	/**
	 * Records that the server has started again and may have granted its longest lease, since an order
	 * named an expiry on its earlier clock.
	 */
	recordLongLease(row: BackendRow): void {
		const latestExpiry = LeaseTiming.getLatestGrantedExpiry(this.context.timers.now())
		row.leasesExpireBy = Math.max(row.leasesExpireBy, latestExpiry)
		this.recordUntilExpiry(row)
	}

	/** Drops the records about servers that have left and run nothing. */
	dropUnused(isUsed: (id: BackendId) => boolean): void {
		for (const id of this.replica.leases.keys()) if (!isUsed(id)) this.drop(id)
	}

	/** Records the term of an owner of an earlier version, for instances that do not read its heartbeats. */
	private recordTerm(token: number): void {
		const key = JobRecords.getTermKey(token)
		this.writer.markRecordChanged(key, () => JobRecords.createTermRecord(token, ''))
	}

	/** The log may still say that the leases are not renewed, although an owner of an earlier version did. */
	private recordAgain(id: BackendId, { expiresBy }: RecordedLease): void {
		this.writer.markRecordChanged(JobRecords.getLeaseKey(id), () => {
			const remaining = Math.ceil(expiresBy - this.context.timers.now())
			if (remaining <= 0) return JobRecords.createLeaseTombstone(id)
			return JobRecords.createLeaseRecord(id, { renewed: true, remaining })
		})
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

	/** Records how long leases may hold, and again once that time has passed. */
	private recordUntilExpiry(row: BackendRow): void {
		this.record(row)
		this.context.timers.after(this.getRemaining(row) + 1, () => {
			this.record(row)
		})
	}

	private recordRemaining(row: BackendRow, suspension: Suspension): void {
		const now = this.context.timers.now()
		if (suspension.recordedRemaining === 0) return
		if (now - suspension.recordedAt < RECORD_INTERVAL) return
		suspension.recordedAt = now
		suspension.recordedRemaining = this.getRemaining(row)
		this.record(row)
	}

	/** Returns for how many milliseconds leases on the server may still hold. */
	private getRemaining(row: BackendRow): number {
		return Math.max(0, Math.ceil(this.getExpiry(row) - this.context.timers.now()))
	}

	private record(row: BackendRow): void {
		const key = JobRecords.getLeaseKey(row.id)
		this.writer.markRecordChanged(key, () => this.createRecord(row))
	}

	private createRecord(row: BackendRow): LogRecord {
		const suspension = this.suspensions.get(row.id)
		const renewed = suspension?.isEnding ?? true
		if (suspension) suspension.isWritten = true
		const now = this.context.timers.now()
		const remaining = this.getRemaining(row)
		const isUsual = renewed && now + remaining <= LeaseTiming.getLatestExpiry(now)
		if (isUsual) return JobRecords.createLeaseTombstone(row.id)
		return JobRecords.createLeaseRecord(row.id, { renewed, remaining })
	}
}

function createSuspension(): Suspension {
	return {
		isEnding: false,
		recordedAt: -Infinity,
		recordedRemaining: Infinity,
		isWritten: false,
	}
}
