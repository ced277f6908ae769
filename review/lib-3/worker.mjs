import { pause, serve } from './http.mjs'

/** Bounds of the small deployments (SYSTEM.md), in milliseconds. */
export const WORKER_BOUNDS = { hold: 6_000, stop: 400, heartbeat: 1_500, gang: 3_000 }
const POLL_MILLISECONDS = 5
const LISTED_ENDS = 500

/** Members of gangs that are present, by `STEP/ATTEMPT`, on all workers. */
const gangs = new Map()

/**
 * Stand-in for a worker: runs tasks under leases and fencing tokens and guards its capacity, as
 * PROTOCOL.md says. What a task needs and how long it works is looked up by the task's name.
 */
export class Worker {
	/** Length of checkpoints, in characters. */
	checkpointLength = 16
	/** Returns an answer that replaces the one to a call, or undefined: the worker is not sound. */
	fault = () => undefined
	runs = new Map()

	/**
	 * @param options.findTask - returns what a task needs and does; `works` and `fails` in milliseconds,
	 * Infinity for one that lasts
	 * @param options.report - called with each event
	 */
	constructor(options) {
		this.options = options
		this.startProcess()
	}

	get id() {
		return this.options.id
	}

	get address() {
		return `${this.options.host}:${this.options.port}`
	}

	startProcess() {
		this.born = Date.now()
		this.clockOrigin = performance.now()
		this.token = 0
		this.leaseEnd = 0
		this.runs = new Map()
		this.barred = new Map()
		this.ended = []
		this.endCount = 0
		this.acknowledged = 0
		this.seq = 0
	}

	/** Steady clock of the process, in milliseconds. */
	get clock() {
		return Math.floor(performance.now() - this.clockOrigin) + 1
	}

	async start() {
		const { host, port } = this.options
		this.server = await serve(host, port, (call) => this.handle(call))
		this.register()
		this.beat = setInterval(() => this.register(), WORKER_BOUNDS.heartbeat)
		this.ticks = setInterval(() => this.endDueRuns(), POLL_MILLISECONDS)
	}

	/** Ends the process at once; everything that runs ends with it. */
	async crash() {
		clearInterval(this.beat)
		clearInterval(this.ticks)
		const lost = [...this.runs.values()]
		this.runs = new Map()
		for (const run of lost) {
			this.report('gone', run)
			if (run.gang > 0) this.leaveGang(run, 'broken')
		}
		await this.server.close()
	}

	/** Starts a new process under the same id. */
	async restart() {
		this.startProcess()
		await this.start()
	}

	stop() {
		clearInterval(this.beat)
		clearInterval(this.ticks)
		return this.server.close()
	}

	register() {
		const { id, service, machine, cpu, store } = this.options
		if (this.isCut) return
		this.seq += 1
		store.put('keyed.servers', id, {
			service,
			address: this.options.listed ?? this.address,
			zone: 'sala-ticino',
			version: 'v1',
			slots: 8,
			state: 'ready',
			seq: this.seq,
			born: this.born,
			machine,
			capacity: { cpu, mem_mb: 65_536 },
			labels: ['std', 'r1'],
			clock_ms: this.clock,
		})
	}

	report(kind, { task, attempt, spec, checkpoint }, more = {}) {
		const entry = { at: Date.now(), worker: this.id, kind, task, attempt, ...more }
		this.options.report({ ...entry, spec, ...(checkpoint ? { checkpoint } : {}) })
	}

	get usedCpu() {
		let cpu = 0
		for (const run of this.runs.values()) cpu += run.cpu
		return cpu
	}

	async handle({ path, body, headers }) {
		this.endDueRuns()
		if (headers['target-instance'] !== undefined && headers['target-instance'] !== this.id)
			return { status: 421 }
		const call = JSON.parse(body.toString() || '{}')
		const fault = this.fault(path, call)
		if (fault) return fault
		const token = call.fencing_token ?? 0
		if (token < this.token) return this.refuse('fence')
		this.token = token
		if (call.deadline_ms !== undefined) this.extendLease(call.deadline_ms)
		if (path === '/api/run-start') return this.startRun(call)
		if (path === '/api/run-stop') return this.stopRun(call)
		if (path === '/api/hold') return this.hold(call)
		return { status: 404 }
	}

	extendLease(deadline) {
		this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, this.clock + WORKER_BOUNDS.hold))
	}

	startRun({ task, attempt, spec, last_checkpoint: checkpoint = '' }) {
		if (this.runs.get(task)?.attempt === attempt) return this.accept()
		if (this.clock >= this.leaseEnd) return this.refuse('late')
		if ((this.barred.get(task) ?? 0) >= attempt || this.runs.has(task)) return this.refuse('old')
		const {
			cpu,
			works,
			checkpoints = false,
			fails = Infinity,
			gang = 0,
		} = this.options.findTask(task)
		if (this.usedCpu + cpu > this.options.cpu) return this.refuse('room')
		const startedAt = performance.now()
		const run = { task, attempt, spec, checkpoint, cpu, works, checkpoints, fails, startedAt, gang }
		this.runs.set(task, run)
		if (gang > 0) this.joinGang(run)
		this.report('start', run)
		return this.accept()
	}

	/** Members of a gang work from the moment when all of them are present. */
	joinGang(run) {
		const key = `${run.task.split('.').slice(0, 3).join('.')}/${run.attempt}`
		run.worker = this
		run.presentAt = run.startedAt
		run.startedAt = Infinity
		run.members = gangs.get(key) ?? new Set()
		gangs.set(key, run.members.add(run))
		if (run.members.size < run.gang) return
		for (const member of run.members) member.startedAt = performance.now()
	}

	/** Ends the other members of a gang of which one has ended. */
	leaveGang(run, how) {
		run.members.delete(run)
		if (how === 'alone') return
		for (const member of [...run.members])
			member.worker.endRun(member, how === 'done' ? 'done' : 'broken')
	}

	stopRun({ task, attempt }) {
		this.barred.set(task, Math.max(attempt, this.barred.get(task) ?? 0))
		const run = this.runs.get(task)
		if (run && run.attempt <= attempt) this.endRun(run, 'stopped')
		return this.accept()
	}

	async hold({ acked_through: through = 0, wait_ms: wait = 0 }) {
		for (const [number, task, attempt, how] of this.ended)
			if (number <= through) this.report('noted', { task, attempt }, { how })
		this.ended = this.ended.filter(([number]) => number > through)
		const until = Date.now() + Math.min(wait, 2_000)
		while (Date.now() < until && this.ended.length === 0) await pause(POLL_MILLISECONDS)
		const running = [...this.runs.values()].map(({ task, attempt, checkpoint, cpu, works }) => [
			task,
			attempt,
			checkpoint,
			works === Infinity ? 100 : 50,
			cpu,
		])
		const ended = this.ended.slice(0, LISTED_ENDS)
		return { status: 200, body: { clock_ms: this.clock, born: this.born, running, ended } }
	}

	endDueRuns() {
		const now = performance.now()
		const lapses = this.clock >= this.leaseEnd
		for (const run of [...this.runs.values()]) {
			const age = now - run.startedAt
			const isAlone = run.gang > 0 && run.startedAt === Infinity
			if (isAlone && now - run.presentAt > WORKER_BOUNDS.gang) this.endRun(run, 'alone')
			if (age >= run.fails) this.endRun(run, 'failed')
			else if (age >= run.works) this.endRun(run, 'done')
			else if (lapses) this.endRun(run, 'lapsed')
			else if (run.checkpoints) this.saveCheckpoint(run, now)
		}
	}

	/** Gives a run a new checkpoint with each 2 s of work (`checkpoint_s`). */
	saveCheckpoint(run, now) {
		const count = Math.floor((now - run.startedAt) / 2_000)
		if (count === 0 || count === run.saves) return
		run.saves = count
		run.checkpoint = createCheckpoint(run.task, count).padEnd(this.checkpointLength, '0')
	}

	endRun(run, how) {
		if (!this.runs.delete(run.task)) return
		this.barred.set(run.task, Math.max(run.attempt, this.barred.get(run.task) ?? 0))
		this.endCount += 1
		this.ended.push([this.endCount, run.task, run.attempt, how, run.checkpoint])
		this.report('end', run, { how })
		if (run.gang > 0) this.leaveGang(run, how)
	}

	accept() {
		return { status: 200, body: { clock_ms: this.clock } }
	}

	refuse(reason) {
		return { status: 409, body: { clock_ms: this.clock, reason } }
	}
}

/** Returns a checkpoint of 16 hexadecimal digits, as on the page, that no other task has. */
function createCheckpoint(task, count) {
	const [job, , , index] = task.split('.')
	const place = Number(index).toString(16).padStart(6, '0')
	return count.toString(16).padStart(4, '0') + place + job.slice(0, 6)
}
