import type { RunEnding, TimerService } from '@mastichead/core'
import type { BackendOrderResult } from '../ports/BackendOrderResult.js'
import type { RenewalRequest } from '../ports/RenewalRequest.js'
import type { RenewalResult } from '../ports/RenewalResult.js'
import type { RunListing } from '../ports/RunListing.js'
import type { StartOrder } from '../ports/StartOrder.js'
import type { StopOrder } from '../ports/StopOrder.js'
import type { RunJournal } from './RunJournal.js'

/** Maximum number of ends in one listing. */
const MAXIMUM_LISTED_ENDS = 500

interface Run {
	readonly task: string
	readonly attempt: number
	readonly startedAt: number
	ending: { readonly at: number; readonly kind: RunEnding } | undefined
}

/**
 * In-memory backend server that implements the protocol: leases, fencing tokens, and ends that are
 * listed until they are acknowledged.
 *
 * @internal
 */
export class MemoryBackend {
	incarnation = 1
	/** While true, calls have no effect and get no answer. */
	disconnected = false
	/** Whether the process has crashed and not started again; nothing reaches it then. */
	private down = false
	/** Whether the process has ended while its host is up, so that connections are refused. */
	private exited = false
	/** While true, connections to it are refused on the way, and it runs on. */
	refusing = false
	/** Whether another process answers at its address. */
	replaced = false
	/** Answer to each start order in place of carrying it out; undefined while it carries them out. */
	startRefusal: BackendOrderResult | undefined
	/** Called when it has begun a run. */
	onStart: (task: string) => void = () => undefined
	/** Rate of its clock; below 1 it runs slow. */
	clockRate = 1
	/** Longest lease that it grants, in milliseconds. */
	maximumLease = 6_000
	/** Time that a stop takes, in milliseconds. */
	stopTime = 50
	/** Returns how long a task runs in milliseconds; undefined if it runs until it is stopped. */
	getRunDuration: (task: string) => number | undefined = () => 300
	/** Returns how a run ends that is not stopped. */
	getRunEnding: (task: string) => RunEnding = () => 'done'
	private readonly runs = new Map<string, Run>()
	private unacknowledgedEnds: RunListing['ended'][number][] = []
	private readonly barredAttempts = new Map<string, number>()
	private endCount = 0
	private token = 0
	private leaseEnd = 0

	constructor(
		readonly id: string,
		private readonly timers: TimerService,
		private readonly journal: RunJournal,
		readonly cores = 16,
		readonly machine = `machine-${id}`
	) {}

	start(order: StartOrder): BackendOrderResult {
		if (this.down || this.exited) return { kind: 'unknown', detail: 'no process' }
		if (this.startRefusal) return this.startRefusal
		this.advance()
		if (order.token < this.token) return this.createRefusal('fence')
		this.token = order.token
		if (order.leaseEnd < this.clock) return this.createRefusal('late')
		this.extendLease(order.leaseEnd)
		const running = this.runs.get(order.task)
		if (running?.attempt === order.attempt) return { kind: 'taken', clock: this.clock }
		if ((this.barredAttempts.get(order.task) ?? 0) >= order.attempt)
			return this.createRefusal('old')
		this.begin(order.task, order.attempt)
		return { kind: 'taken', clock: this.clock }
	}

	/** Begins a run, also without an order. */
	begin(task: string, attempt: number): void {
		const duration = this.getRunDuration(task)
		const startedAt = this.timers.now()
		const ending =
			duration === undefined
				? undefined
				: { at: startedAt + duration, kind: this.getRunEnding(task) }
		this.runs.set(task, { task, attempt, startedAt, ending })
		this.journal.recordStart(task, attempt, this.id, startedAt)
		this.onStart(task)
	}

	stop(order: StopOrder): BackendOrderResult {
		this.advance()
		if (order.token < this.token) return this.createRefusal('fence')
		this.token = order.token
		this.barAttempt(order.task, order.attempt)
		const run = this.runs.get(order.task)
		if (run?.attempt === order.attempt && run.ending?.kind !== 'stopped') {
			run.ending = { at: this.timers.now() + this.stopTime, kind: 'stopped' }
		}
		return { kind: 'taken', clock: this.clock }
	}

	/** @param acknowledgedThrough - number of the latest end that is dropped */
	renew(renewal: RenewalRequest, acknowledgedThrough: number): RenewalResult {
		this.advance()
		if (renewal.token < this.token) return { kind: 'fenced', detail: 'fence' }
		this.token = renewal.token
		if (renewal.leaseEnd !== undefined) this.extendLease(renewal.leaseEnd)
		for (const end of this.unacknowledgedEnds) {
			if (end.number <= acknowledgedThrough) this.journal.recordAcknowledgement(end)
		}
		this.unacknowledgedEnds = this.unacknowledgedEnds.filter(
			(end) => end.number > acknowledgedThrough
		)
		return { kind: 'listed', listing: this.createListing() }
	}

	/** Whether a renewal that waits for an end would return now. */
	hasEnds(): boolean {
		this.advance()
		return this.unacknowledgedEnds.length > 0
	}

	/** Ends all runs of a job as done. */
	endAll(job: string): void {
		for (const run of [...this.runs.values()])
			if (run.task.startsWith(`${job}.`)) this.endRun(run, 'done', this.now)
	}

	/** Number of runs that are being stopped. */
	get stoppingRuns(): number {
		return [...this.runs.values()].filter(({ ending }) => ending?.kind === 'stopped').length
	}

	/** Whether calls reach the process. */
	get isReachable(): boolean {
		return !this.disconnected && !this.down
	}

	/** How calls fail that do not reach the process; undefined if they reach it. */
	get failure(): 'silent' | 'refused' | 'moved' | undefined {
		if (!this.isReachable) return 'silent'
		if (this.replaced) return 'moved'
		return this.exited || this.refusing ? 'refused' : undefined
	}

	/** Simulates a crash of the process on a host that stays up. */
	exit(): void {
		this.restart()
		this.exited = true
	}

	/** Simulates a crash of the process, after which it is down. */
	crash(): void {
		this.restart()
		this.down = true
	}

	/** Simulates a crash of the process and its restart under the same id. */
	restart(): void {
		this.down = false
		this.exited = false
		this.advance()
		for (const run of this.runs.values()) this.journal.recordEnd(run.task, run.attempt, this.now)
		this.runs.clear()
		this.unacknowledgedEnds = []
		this.barredAttempts.clear()
		this.endCount = 0
		this.token = 0
		this.leaseEnd = 0
		this.incarnation += 1
	}

	/** Ends the runs that are due to end or whose lease has expired. */
	advance(): void {
		for (const run of [...this.runs.values()]) {
			const leaseExpiresAt = (this.leaseEnd - this.clockOffset) / this.clockRate
			const ending = run.ending
			if (ending && ending.at <= this.now && ending.at <= leaseExpiresAt)
				this.endRun(run, ending.kind, ending.at)
			else if (leaseExpiresAt <= this.now) this.endRun(run, 'lapsed', leaseExpiresAt)
		}
	}

	private endRun(run: Run, ending: RunEnding, at: number): void {
		this.runs.delete(run.task)
		this.barAttempt(run.task, run.attempt)
		this.endCount += 1
		const { task, attempt } = run
		this.unacknowledgedEnds.push({
			number: this.endCount,
			task,
			attempt,
			ending,
			checkpoint: '',
		})
		this.journal.recordEnd(task, attempt, at)
	}

	private createListing(): RunListing {
		const running = [...this.runs.values()].map(({ task, attempt }) => ({
			task,
			attempt,
			checkpoint: '',
			percent: 100,
			load: 0,
		}))
		return {
			clock: this.clock,
			incarnation: this.incarnation,
			running,
			isComplete: this.unacknowledgedEnds.length <= MAXIMUM_LISTED_ENDS,
			ended: this.unacknowledgedEnds.slice(0, MAXIMUM_LISTED_ENDS),
		}
	}

	private extendLease(leaseEnd: number): void {
		this.leaseEnd = Math.max(this.leaseEnd, Math.min(leaseEnd, this.clock + this.maximumLease))
	}

	private barAttempt(task: string, attempt: number): void {
		this.barredAttempts.set(task, Math.max(attempt, this.barredAttempts.get(task) ?? 0))
	}

	private createRefusal(reason: 'fence' | 'late' | 'old'): BackendOrderResult {
		return { kind: 'refused', reason, clock: this.clock }
	}

	private get now(): number {
		return this.timers.now()
	}

	private get clockOffset(): number {
		// The clock of a server that starts again is behind the one before.
		return 1_000_000_000 - this.incarnation * 1_000_000
	}

	private get clock(): number {
		return this.now * this.clockRate + this.clockOffset
	}
}
