/** Stand-in for a worker: runs tasks under leases and fencing tokens, and rejects what does not fit. */
import { setTimeout as delay } from 'node:timers/promises'
import { serve } from './http.mjs'

const HOLD_MAX = 6_000
const LISTED_ENDS = 500

export class Worker {
	/** Accepted starts, as `{ task, attempt, at }`. */
	static events = []

	constructor({ id, machine, service, host, port = 8080, zone = 'a', capacity, report, duration }) {
		Object.assign(this, { id, machine, service, host, port, zone, capacity, report })
		/** Milliseconds that a task runs, from its spec; undefined for one that lasts. */
		this.duration = duration
	}

	get address() {
		return `${this.host}:${this.port}`
	}

	async start() {
		this.born = Date.now()
		this.origin = performance.now() - 1_000
		this.runs = new Map()
		this.barred = new Map()
		this.ended = []
		this.endCount = 0
		this.token = 0
		this.leaseEnd = 0
		this.up = true
		this.server = await serve(this.host, this.port, (request) => this.handle(request))
		this.timer = setInterval(() => this.update(), 5)
	}

	/** Ends the process at once: connections are reset, everything that runs is gone. */
	crash() {
		if (!this.up) return
		this.up = false
		clearInterval(this.timer)
		this.server.kill()
		for (const { task, attempt } of this.runs.values())
			this.report('gone', { worker: this.id, task, attempt })
		this.runs.clear()
	}

	get clock() {
		return Math.floor(performance.now() - this.origin)
	}

	registration(seq, state = 'ready') {
		const { service, address, zone, capacity, machine, born } = this
		return {
			...{ service, address, zone, version: 'v1', slots: 8, state, warmup_left_ms: 0 },
			...{ capacity, labels: ['a', 'r1'], clock_ms: this.clock, machine, born, seq },
		}
	}

	async handle({ call, headers, body }) {
		if (!this.up) return undefined
		if (headers['target-instance'] !== this.id) return { status: 421 }
		const order = JSON.parse(body.toString() || '{}')
		this.update()
		if ((order.fencing_token ?? 0) < this.token) return this.refuse('fence')
		this.token = order.fencing_token ?? 0
		if (order.deadline_ms !== undefined)
			this.leaseEnd = Math.max(this.leaseEnd, Math.min(order.deadline_ms, this.clock + HOLD_MAX))
		switch (call) {
			case 'POST /api/run-start':
				return this.startRun(order)
			case 'POST /api/run-stop':
				this.bar(order.task, order.attempt)
				if (this.runs.get(order.task)?.attempt === order.attempt) this.endRun(order.task, 'stopped')
				return { status: 200, body: { clock_ms: this.clock, born: this.born } }
			case 'POST /api/hold':
				return this.hold(order)
			default:
				return { status: 404 }
		}
	}

	startRun({ task, attempt, spec, last_checkpoint: checkpoint = '' }) {
		const accepted = { status: 200, body: { clock_ms: this.clock, born: this.born } }
		if (this.runs.get(task)?.attempt === attempt) return accepted
		if (this.clock > this.leaseEnd) return this.refuse('late')
		if ((this.barred.get(task) ?? -1) >= attempt) return this.refuse('old')
		const needs = this.getNeeds(task)
		if (needs && this.used() + needs > this.capacity.cpu) return this.refuse('room')
		const duration = this.duration(task, spec)
		const endsAt = duration === undefined ? Infinity : performance.now() + duration
		const saves = this.saves?.(task, spec)
		this.runs.set(task, {
			task,
			attempt,
			endsAt,
			needs,
			since: performance.now(),
			checkpoint,
			saves,
		})
		this.report('start', { worker: this.id, task, attempt, spec: String(spec).slice(0, 20) })
		this.onStart?.(task, attempt)
		return accepted
	}

	/** Returns the cpu that a task takes; set by the script, which knows the jobs. */
	getNeeds = () => 0

	used() {
		let sum = 0
		for (const { needs } of this.runs.values()) sum += needs
		return sum
	}

	async hold({ acked_through: acked = 0, wait_ms: wait = 0 }) {
		for (const [number, task, attempt, how] of this.ended)
			if (number <= acked) this.report('noted', { worker: this.id, task, attempt, how })
		this.ended = this.ended.filter(([number]) => number > acked)
		const until = performance.now() + wait
		while (performance.now() < until && this.ended.length === 0 && this.up) await delay(5)
		if (!this.up) return undefined
		const running = [...this.runs.values()].map(({ task, attempt, since, saves, checkpoint }) => [
			task,
			attempt,
			saves ? saves(performance.now() - since) || checkpoint : checkpoint,
			100,
			0,
		])
		const ended = this.ended.slice(0, LISTED_ENDS)
		return { status: 200, body: { clock_ms: this.clock, born: this.born, running, ended } }
	}

	update() {
		const now = performance.now()
		const isLapsed = this.clock > this.leaseEnd
		for (const { task, endsAt } of [...this.runs.values()]) {
			if (endsAt <= now) this.endRun(task, 'done')
			else if (isLapsed) this.endRun(task, 'lapsed')
		}
	}

	endRun(task, how) {
		const { attempt } = this.runs.get(task)
		this.runs.delete(task)
		this.bar(task, attempt)
		this.endCount += 1
		this.ended.push([this.endCount, task, attempt, how, ''])
		this.report('end', { worker: this.id, task, attempt, how })
	}

	bar(task, attempt) {
		this.barred.set(task, Math.max(attempt, this.barred.get(task) ?? attempt))
	}

	refuse(reason) {
		return { status: 409, body: { clock_ms: this.clock, born: this.born, reason } }
	}
}
