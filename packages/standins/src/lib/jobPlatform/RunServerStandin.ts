import { setTimeout as delay } from 'node:timers/promises'
import type { RunEvent } from './RunEvent.js'
import { JsonServer } from './JsonServer.js'

/** Interval at which a waiting `hold` call checks for ended runs. */
const POLL_INTERVAL_MILLISECONDS = 10
/** Longest lease that a server grants. */
const MAXIMUM_LEASE_MILLISECONDS = 6_000

/** Time from the start of a task that crashes its server to the crash. */
const CRASH_DELAY_MILLISECONDS = 10

interface Run {
	readonly task: string
	readonly attempt: number
	/** Milliseconds since 1970 at which the run ends by itself; undefined if it never does. */
	readonly endsAt: number | undefined
}

interface RunCall {
	readonly task: string
	readonly attempt: number
	readonly fencing_token: number
	readonly acked_through: number
	readonly deadline_ms?: number
	readonly wait_ms?: number
	readonly spec?: string
}

/**
 * Stand-in for a backend server that runs tasks under leases and fencing tokens.
 *
 * @public
 */
export class RunServerStandin {
	/** Specification of tasks that run until they are stopped. */
	static readonly lastingSpecification = 'lasting'
	/** Specification of tasks that crash each server that starts them. */
	static readonly crashingSpecification = 'crash'
	/** Every accepted start, as `TASK/ATTEMPT`, in order. */
	readonly starts: string[] = []
	/** Id under which it is registered; calls for another one are refused. Undefined to accept all. */
	instanceId: string | undefined
	/** Called with everything that happens to runs. */
	onEvent: (event: RunEvent) => void = () => undefined
	/** Called when a task crashes the server, which must then be restarted. */
	onCrash: () => void = () => undefined
	/** Highest attempt of each task that has ended or was stopped here. */
	private readonly barredAttempts = new Map<string, number>()
	/** Start of the current incarnation, in milliseconds since 1970. */
	private born = Date.now()
	/** Origin of the server's own clock, which differs from the wall clock on purpose. */
	private readonly clockOrigin = this.born - 1_000_000
	private readonly runs = new Map<string, Run>()
	/** Ended runs that are not acknowledged yet, as `[number, task, attempt, reason, '']`. */
	private ended: unknown[][] = []
	/** Number of the latest end before which the lease has expired since. */
	private lapsedThrough = 0
	private endCount = 0
	/** Highest fencing token received. */
	private token = 0
	/** Expiry of the lease on the server's own clock, in milliseconds. */
	private leaseEnd = 0
	private readonly server = new JsonServer(({ url, body, headers }) => {
		if (this.instanceId !== undefined && headers['target-instance'] !== this.instanceId)
			return Promise.resolve({ status: 421, body: {} })
		return this.handle(url.pathname, JSON.parse(body.toString() || '{}') as RunCall)
	})

	/**
	 * @param duration - milliseconds that a task runs; undefined lets it run until it is stopped
	 */
	constructor(private readonly duration: number | undefined) {}

	listen(host: string, port: number): Promise<void> {
		return this.server.listen(host, port)
	}

	close(): Promise<void> {
		return this.server.close()
	}

	/** Returns the registration that the server writes to the store. */
	createRegistration(service: string, address: string, machine: string): object {
		return {
			service,
			address,
			zone: 'a',
			version: 'v1',
			slots: 8,
			state: 'ready',
			warmup_left_ms: 0,
			seq: 1,
			born: this.born,
			machine,
			capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 },
			labels: ['a', 'r1'],
			clock_ms: this.clockMilliseconds,
		}
	}

	/** Drops all runs at once and starts a new incarnation. */
	restart(): void {
		// Runs whose lease has expired meanwhile ended then, not now.
		this.endDueRuns()
		for (const { task, attempt } of this.runs.values()) this.report('ended', task, attempt, 'lost')
		this.runs.clear()
		this.barredAttempts.clear()
		this.ended = []
		this.endCount = 0
		this.lapsedThrough = 0
		this.token = 0
		this.leaseEnd = 0
		this.born = Date.now()
	}

	/** Ids of the tasks that are running now. */
	get running(): string[] {
		this.endDueRuns()
		return [...this.runs.keys()]
	}

	private async handle(path: string, call: RunCall): Promise<{ status: number; body: object }> {
		this.endDueRuns()
		if (call.fencing_token < this.token) return this.refuse('fence')
		this.token = call.fencing_token
		if (call.deadline_ms !== undefined) this.extendLease(call.deadline_ms)
		switch (path) {
			case '/api/run-start':
				return this.startRun(call)
			case '/api/run-stop':
				this.stopRun(call)
				return { status: 200, body: { clock_ms: this.clockMilliseconds } }
			case '/api/hold':
				return { status: 200, body: await this.hold(call) }
			default:
				return { status: 404, body: {} }
		}
	}

	private startRun({ task, attempt, spec }: RunCall): { status: number; body: object } {
		const accepted = { status: 200, body: { clock_ms: this.clockMilliseconds } }
		if (this.runs.get(task)?.attempt === attempt) return accepted
		if (this.clockMilliseconds > this.leaseEnd) return this.refuse('late')
		if ((this.barredAttempts.get(task) ?? -1) >= attempt) return this.refuse('old')
		const isLasting = this.duration === undefined || spec === RunServerStandin.lastingSpecification
		const endsAt = isLasting ? undefined : Date.now() + this.duration
		this.runs.set(task, { task, attempt, endsAt })
		this.starts.push(`${task}/${attempt}`)
		this.report('started', task, attempt, '')
		if (spec === RunServerStandin.crashingSpecification) this.crashSoon(task, attempt)
		return accepted
	}

	private crashSoon(task: string, attempt: number): void {
		setTimeout(() => {
			if (this.runs.get(task)?.attempt === attempt) this.onCrash()
		}, CRASH_DELAY_MILLISECONDS)
	}

	private extendLease(deadline: number): void {
		const limit = this.clockMilliseconds + MAXIMUM_LEASE_MILLISECONDS
		this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, limit))
	}

	private stopRun({ task, attempt }: RunCall): void {
		this.barAttempt(task, attempt)
		if (this.runs.get(task)?.attempt === attempt) this.endRun(task, 'stopped', Date.now())
	}

	private barAttempt(task: string, attempt: number): void {
		this.barredAttempts.set(task, Math.max(attempt, this.barredAttempts.get(task) ?? attempt))
	}

	private report(
		kind: RunEvent['kind'],
		task: string,
		attempt: number,
		ending: string,
		{ at = Date.now(), leaseLapsed = false }: { at?: number; leaseLapsed?: boolean } = {}
	): void {
		this.onEvent({ kind, task, attempt, ending, leaseLapsed, at })
	}

	private async hold(call: RunCall): Promise<object> {
		for (const [number, task, attempt, ending] of this.ended) {
			if (Number(number) > call.acked_through) continue
			const leaseLapsed = Number(number) <= this.lapsedThrough
			this.report('acknowledged', String(task), Number(attempt), String(ending), { leaseLapsed })
		}
		this.ended = this.ended.filter((runEnd) => Number(runEnd[0]) > call.acked_through)
		const until = Date.now() + (call.wait_ms ?? 0)
		while (Date.now() < until && this.ended.length === 0) {
			await delay(POLL_INTERVAL_MILLISECONDS)
			this.endDueRuns()
		}
		const running = [...this.runs.values()].map(({ task, attempt }) => [task, attempt, '', 100, 0])
		return { clock_ms: this.clockMilliseconds, born: this.born, running, ended: this.ended }
	}

	private endDueRuns(): void {
		const leaseExpiresAt = this.leaseEnd + this.clockOrigin
		const now = Date.now()
		this.endRunsBefore(leaseExpiresAt, now)
		if (leaseExpiresAt < now) this.lapsedThrough = this.endCount
	}

	private endRunsBefore(leaseExpiresAt: number, now: number): void {
		for (const { task, endsAt } of [...this.runs.values()]) {
			if (endsAt !== undefined && endsAt <= Math.min(now, leaseExpiresAt))
				this.endRun(task, 'done', endsAt)
			else if (leaseExpiresAt < now) this.endRun(task, 'lapsed', leaseExpiresAt)
		}
	}

	private endRun(task: string, ending: string, at: number): void {
		const run = this.runs.get(task)
		if (!run) return
		this.runs.delete(task)
		this.barAttempt(task, run.attempt)
		this.endCount += 1
		this.report('ended', task, run.attempt, ending, { at })
		this.ended.push([this.endCount, task, run.attempt, ending, ''])
	}

	private refuse(reason: string): { status: number; body: object } {
		return { status: 409, body: { clock_ms: this.clockMilliseconds, reason } }
	}

	private get clockMilliseconds(): number {
		return Date.now() - this.clockOrigin
	}
}
