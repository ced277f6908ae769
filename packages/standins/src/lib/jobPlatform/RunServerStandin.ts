import { setTimeout as delay } from 'node:timers/promises'
import { JsonServer } from './JsonServer.js'

/** Interval at which a waiting `hold` call checks for ended runs. */
const POLL_INTERVAL_MILLISECONDS = 10

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
}

/**
 * Stand-in for a backend server that runs tasks under leases and fencing tokens.
 *
 * @public
 */
export class RunServerStandin {
	/** Every accepted start, as `TASK/ATTEMPT`, in order. */
	readonly starts: string[] = []
	/** Start of the current incarnation, in milliseconds since 1970. */
	private born = Date.now()
	/** Origin of the server's own clock, which differs from the wall clock on purpose. */
	private readonly clockOrigin = this.born - 1_000_000
	private readonly runs = new Map<string, Run>()
	/** Ended runs that are not acknowledged yet, as `[number, task, attempt, reason, '']`. */
	private ended: unknown[][] = []
	private endCount = 0
	/** Highest fencing token received. */
	private token = 0
	/** Expiry of the lease on the server's own clock, in milliseconds. */
	private leaseEnd = 0
	private readonly server = new JsonServer(({ url, body }) =>
		this.handle(url.pathname, JSON.parse(body.toString() || '{}') as RunCall)
	)

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
		this.runs.clear()
		this.ended = []
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
		if (call.deadline_ms !== undefined) this.leaseEnd = Math.max(this.leaseEnd, call.deadline_ms)
		switch (path) {
			case '/api/run-start':
				this.startRun(call)
				return { status: 200, body: { clock_ms: this.clockMilliseconds } }
			case '/api/run-stop':
				this.endRun(call.task, 'stopped')
				return { status: 200, body: { clock_ms: this.clockMilliseconds } }
			case '/api/hold':
				return { status: 200, body: await this.hold(call) }
			default:
				return { status: 404, body: {} }
		}
	}

	private startRun({ task, attempt }: RunCall): void {
		if (this.runs.get(task)?.attempt === attempt) return
		const endsAt = this.duration === undefined ? undefined : Date.now() + this.duration
		this.runs.set(task, { task, attempt, endsAt })
		this.starts.push(`${task}/${attempt}`)
	}

	private async hold(call: RunCall): Promise<object> {
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
		const isLeaseExpired = this.clockMilliseconds > this.leaseEnd
		for (const run of [...this.runs.values()]) {
			if (run.endsAt !== undefined && run.endsAt <= Date.now()) this.endRun(run.task, 'done')
			else if (isLeaseExpired) this.endRun(run.task, 'lapsed')
		}
	}

	private endRun(task: string, reason: string): void {
		const run = this.runs.get(task)
		if (!run) return
		this.runs.delete(task)
		this.endCount += 1
		this.ended.push([this.endCount, task, run.attempt, reason, ''])
	}

	private refuse(reason: string): { status: number; body: object } {
		return { status: 409, body: { clock_ms: this.clockMilliseconds, reason } }
	}

	private get clockMilliseconds(): number {
		return Date.now() - this.clockOrigin
	}
}
