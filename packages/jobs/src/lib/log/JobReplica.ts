import type { BackendId, Job, JobId, JobState, QueueRules, TimerService } from '@mastichead/core'
import { isFinalState } from '@mastichead/core'
import { IntakeTable } from '../intake/IntakeTable.js'
import { isInScope } from '../intake/isInScope.js'
import type { EventLog } from '../logs/EventLog.js'
import type { MachineOrder } from '../machines/MachineOrder.js'
import type { WaveProgress } from '../machines/WaveProgress.js'
import type { BackendRegistration } from '../ports/BackendRegistration.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { LogEntry } from '../ports/LogEntry.js'
import { LeaseTiming } from '../owner/leases/LeaseTiming.js'
import { JobRecords } from './JobRecords.js'
import { isJobOfQueue } from './isJobOfQueue.js'
import type { RecordedLease } from './RecordedLease.js'
import type { RecordedPlacement } from './RecordedPlacement.js'
import type { ReplicaRow } from './ReplicaRow.js'
import { TermHistory } from './TermHistory.js'

type QueuePrefix = Pick<QueueRules, 'host' | 'pathPrefix'>

const noPlacements: ReplicaRow['placements'] = new Map()

/**
 * In-memory replica of all jobs, built from the log on every instance. It contains only durable
 * state.
 *
 * @public
 */
export class JobReplica {
	private readonly rows = new Map<JobId, ReplicaRow>()
	/** Progress of the maintenance waves by the key of the wave. */
	readonly waveProgress = new Map<string, WaveProgress>()
	/** Backend servers as the latest owner recorded them. */
	readonly backends = new Map<BackendId, BackendRegistration>()
	/** Latest order for each machine by an owner that records its orders. */
	readonly machineOrders = new Map<string, MachineOrder>()
	/** What owners recorded about the leases on backend servers. */
	readonly leases = new Map<BackendId, RecordedLease>()
	readonly terms = new TermHistory()
	/** Whether an owner was seen that records its orders for machines; earlier versions do not. */
	recordsMachineOrders = false
	/** Whether the progress of all jobs has been loaded, so that what is read now has just been written. */
	private isLoaded = false
	private readonly jobListeners = new Set<(row: ReplicaRow) => void>()
	private readonly intake: IntakeTable

	constructor(
		private readonly events: EventLog,
		private readonly timers: Pick<TimerService, 'now'>
	) {
		const rows = {
			get: (id: JobId) => this.rows.get(id),
			getOrCreate: (id: JobId) => this.getOrCreateRow(id),
			delete: (id: JobId) => this.rows.delete(id),
		}
		this.intake = new IntakeTable(rows, events, (row) => {
			for (const listener of this.jobListeners) listener(row)
		})
	}

	/** Handles that the progress of all jobs has been loaded. */
	handleLoaded(): void {
		this.isLoaded = true
		this.terms.recordLoad(this.timers.now())
	}

	/** Calls `listener` when a job is submitted or cancelled. */
	subscribe(listener: (row: ReplicaRow) => void): { cancel(): void } {
		this.jobListeners.add(listener)
		return { cancel: () => this.jobListeners.delete(listener) }
	}

	get(id: JobId): ReplicaRow | undefined {
		return this.rows.get(id)
	}

	get all(): IterableIterator<ReplicaRow> {
		return this.rows.values()
	}

	/** Whether a cancellation bars a submission, so that it is not the job that has its id. */
	isBarred(job: Job): boolean {
		const row = this.rows.get(job.id)
		if (!row || row.job) return false
		return row.barriers.some((scope) => isInScope(job, scope))
	}

	/** Whether a record shows that the job was submitted: the submission or its progress. */
	isSubmitted(id: JobId): boolean {
		const row = this.rows.get(id)
		return row?.job !== undefined || row?.snapshot !== undefined
	}

	/** Returns the state of a job; undefined if no record shows that it was submitted. */
	getState(id: JobId): JobState | undefined {
		const row = this.rows.get(id)
		if (!row || !this.isSubmitted(id)) return undefined
		const state = row.snapshot?.state ?? 'queued'
		return row.cancelled && !isFinalState(state) ? 'cancelled' : state
	}

	/**
	 * Counts the unfinished jobs of a queue that have no schedule and of which no task has started.
	 *
	 * @param prefix - where callers reach the queue; jobs accepted there under another name count as well
	 */
	countWaitingJobs(queue: string, prefix?: QueuePrefix): number {
		let count = 0
		for (const row of this.rows.values()) {
			if (!row.job || !isJobOfQueue(row.job, queue, prefix) || row.job.times > 0) continue
			if (isWaiting(row)) count += 1
		}
		return count
	}

	/**
	 * Applies a record that was written for a caller.
	 *
	 * @param isStreamLoaded - whether the stream has been loaded, so that its records come in order
	 */
	applyIntake(entry: LogEntry, stream: IntakeStream, isStreamLoaded: boolean): void {
		const row = this.intake.apply(entry, stream, isStreamLoaded)
		const isCancellation = row?.entries.at(-1)?.kind === 'cancellation'
		if (row && entry.value !== undefined && isCancellation) row.cancelReadAt = this.timers.now()
	}

	/** Handles that an intake stream has been loaded. */
	handleIntakeLoaded(stream: IntakeStream): void {
		this.intake.handleLoaded(stream)
	}

	/** Applies a record that was written by an owner. */
	applyProgress(entry: LogEntry): void {
		const term = JobRecords.parseTermKey(entry.key)
		if (term !== undefined) {
			this.applyTerm(term, entry)
			return
		}
		this.terms.recordSign(this.timers.now())
		if (entry.key === JobRecords.ownerKey) {
			this.applyHeartbeat(entry)
			return
		}
		const lease = JobRecords.parseLeaseKey(entry.key)
		if (lease !== undefined) {
			this.applyLease(lease, entry)
			return
		}
		const machine = JobRecords.parseMachineKey(entry.key)
		if (machine !== undefined) {
			this.applyMachineOrder(machine, entry)
			return
		}
		if (JobRecords.isWaveKey(entry.key)) {
			this.applyWaveProgress(entry)
			return
		}
		const backend = JobRecords.parseBackendKey(entry.key)
		if (backend !== undefined) {
			this.applyBackend(backend, entry)
			return
		}
		if (entry.value === undefined) {
			const row = this.rows.get(entry.key)
			if (row) row.snapshot = undefined
			return
		}
		const row = this.getOrCreateRow(entry.key)
		row.snapshot = this.parse(entry, (value) => JobRecords.parseProgress(value)) ?? row.snapshot
		row.placements = this.updatePlacements(row)
	}

	/** Returns the placements of a job's latest progress, with the time at which each was first read. */
	private updatePlacements({ snapshot, placements }: ReplicaRow): ReplicaRow['placements'] {
		const updated = new Map<number, RecordedPlacement>()
		const readAt = this.isLoaded ? this.timers.now() : undefined
		for (const { place, phase, attempt } of snapshot?.tasks ?? []) {
			if (phase !== 'placed') continue
			const earlier = placements.get(place)
			updated.set(place, earlier?.attempt === attempt ? earlier : { attempt, readAt })
		}
		return updated
	}

	private applyHeartbeat(entry: LogEntry): void {
		this.recordsMachineOrders = true
		const heartbeat = this.parse(entry, (value) => JobRecords.parseOwner(value))
		if (!heartbeat) return
		const { token, isTermRecorded } = heartbeat
		if (!isTermRecorded) this.distrustLeases()
		this.terms.recordHeartbeat(token, isTermRecorded, this.timers.now())
	}

	/** An owner of an earlier version renews leases without a record. */
	private distrustLeases(): void {
		for (const [id, lease] of this.leases) this.leases.set(id, { ...lease, renewed: true })
	}

	private applyTerm(token: number, entry: LogEntry): void {
		if (entry.value === undefined) {
			this.terms.recordEnd(token, this.timers.now())
			return
		}
		const instance = this.parse(entry, (value) => JobRecords.parseTerm(value)) ?? ''
		this.terms.recordBegin(token, instance, this.timers.now())
	}

	private applyLease(id: BackendId, entry: LogEntry): void {
		const lease =
			entry.value === undefined
				? undefined
				: this.parse(entry, (value) => JobRecords.parseLease(value))
		if (!lease) {
			this.leases.delete(id)
			return
		}
		const { renewed, remaining } = lease
		const expiresBy = LeaseTiming.getLatestArrival(this.timers.now(), remaining)
		this.leases.set(id, { renewed, expiresBy })
	}

	private applyBackend(id: BackendId, entry: LogEntry): void {
		if (entry.value === undefined) {
			this.backends.delete(id)
			return
		}
		const backend = this.parse(entry, (value) => JobRecords.parseBackend(value))
		if (backend) this.backends.set(id, backend)
	}

	private applyMachineOrder(machine: string, entry: LogEntry): void {
		const order = this.parse(entry, (value) => JobRecords.parseMachineOrder(value))
		if (order) this.machineOrders.set(machine, order)
	}

	private applyWaveProgress(entry: LogEntry): void {
		const progress = this.parse(entry, (value) => JobRecords.parseWaveProgress(value))
		if (progress) this.waveProgress.set(entry.key, progress)
	}

	private getOrCreateRow(id: JobId): ReplicaRow {
		const existing = this.rows.get(id)
		if (existing) return existing
		const row: ReplicaRow = {
			id,
			entries: [],
			job: undefined,
			cancelled: false,
			barriers: [],
			cancelReadAt: undefined,
			snapshot: undefined,
			placements: noPlacements,
		}
		this.rows.set(id, row)
		return row
	}

	private parse<T>(entry: LogEntry, parse: (value: string) => T): T | undefined {
		try {
			return parse(entry.value ?? '')
		} catch (error) {
			const { key, offset } = entry
			this.events.error('log-record-unreadable', { key, offset, error: String(error) })
			return undefined
		}
	}
}

/** Whether a job may still begin, and no server is known to have begun a run of it. */
function isWaiting({ cancelled, snapshot }: ReplicaRow): boolean {
	if (cancelled) return false
	return !snapshot || !(snapshot.begun || isFinalState(snapshot.state))
}
