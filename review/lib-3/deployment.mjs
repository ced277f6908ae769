import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { pause, serve, waitFor } from './http.mjs'
import { Store, STORE_LIMITS } from './store.mjs'
import { WORKER_BOUNDS, Worker } from './worker.mjs'

const STORE_PORT = 8_344
const WORKER_PORT = 8_080
const FRONT_PORT = 8_340
const READY_PORT = 8_343
const START_TIMEOUT = 20_000
export const EXIT = { held: 0, broken: 1, notRun: 2 }

/**
 * A small deployment on loopback addresses: the store, workers, and daemons as separate processes that
 * are started with the command of the deploy file.
 */
export class Deployment {
	lines = []
	daemons = new Map()
	workers = []
	/** Jobs by id, for the workers. */
	jobs = new Map()
	events = []

	constructor({ tenants = [createTenant('installers', 'key-1')] } = {}) {
		const [second, third] = [1 + random(200), 1 + random(250)]
		this.network = `127.${second}.${third}`
		this.folder = mkdtempSync(path.join(tmpdir(), 'mastichead-review-'))
		this.store = new Store()
		this.store.put('keyed.op', 'config', createConfiguration({ tenants }))
		this.startedAt = Date.now()
	}

	note(text) {
		const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3).padStart(8)
		this.lines.push(`${seconds} ${text}`)
	}

	async start({ daemons = 1, workers = 2, cpu = 16_000 } = {}) {
		await this.store.listen(`${this.network}.1`, STORE_PORT)
		this.cloud = await serve(`${this.network}.2`, STORE_PORT, (call) => this.answerCloud(call))
		for (let number = 1; number <= workers; number += 1) await this.addWorker(number, cpu)
		const names = Array.from({ length: daemons }, (_, index) => `front-${index + 1}`)
		await Promise.all(names.map((name) => this.startDaemon(name)))
	}

	/** The platform's machines; there is no order that a deployment with one pool and no wave needs. */
	answerCloud({ method, path: target, body }) {
		if (method !== 'GET') {
			this.note(`cloud ${method} ${target} ${body}`)
			return { status: 409, body: { reason: 'busy' } }
		}
		const machines = this.workers.map(({ id, options }) => ({
			machine: options.machine,
			pool: options.service,
			state: 'up',
			zone: 'sala-ticino',
			labels: ['std', 'r1'],
			capacity: { cpu: options.cpu, mem_mb: 65_536 },
			id,
		}))
		return { status: 200, body: { machines } }
	}

	async addWorker(number, cpu) {
		const worker = new Worker({
			id: `w${number}-${random(1_000_000).toString(36)}`,
			host: `${this.network}.${100 + number}`,
			port: WORKER_PORT,
			service: 'desk',
			machine: `m-${number}`,
			cpu,
			store: this.store,
			findTask: (task) => this.findTask(task),
			report: (event) => this.recordEvent(event),
		})
		await worker.start()
		this.workers.push(worker)
	}

	findTask(task) {
		const [id, , step, index] = task.split('.')
		const job = this.jobs.get(id)
		const {
			cpu = 0,
			count,
			gang = false,
			checkpoints = false,
			long_running: lasts = false,
		} = job.body.steps[Number(step)]
		const works = typeof job.works === 'function' ? job.works(Number(index)) : job.works
		return {
			cpu,
			checkpoints,
			works: lasts ? Infinity : works,
			fails: job.getFailure?.(Number(index)),
			gang: gang ? count : 0,
		}
	}

	recordEvent(event) {
		this.events.push(event)
		if (this.isQuiet) return
		const { worker, kind, task, attempt, how = '', checkpoint = '' } = event
		this.note(`${worker} ${kind} ${task}/${attempt} ${how} ${checkpoint}`.trimEnd())
	}

	getAddress(name) {
		return `${this.network}.${10 + Number(name.split('-')[1])}`
	}

	async startDaemon(name) {
		const ip = this.getAddress(name)
		const settings = path.join(this.folder, `${name}.toml`)
		writeFileSync(settings, createSettings(name, ip, this.network))
		const [program, ...args] = readDeployCommand()
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			env: { PATH: process.env.PATH, HOME: process.env.HOME, MASTICHEAD_CONFIG: settings },
			stdio: ['ignore', 'pipe', 'pipe'],
		})
		const daemon = { name, ip, child, output: [], ended: false }
		child.once('exit', (code, signal) => {
			daemon.ended = true
			this.note(`${name} ended (${signal ?? code})`)
		})
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8')
			let rest = ''
			stream.on('data', (text) => {
				const parts = (rest + text).split('\n')
				rest = parts.pop()
				daemon.output.push(...parts)
				if (daemon.output.length > 4_000) daemon.output.splice(0, 2_000)
				if (process.env.DAEMON_LOG) for (const part of parts) console.log(name, part)
			})
		}
		this.daemons.set(name, daemon)
		this.note(`${name} started`)
		const isReady = async () => {
			const answer = await send({ host: ip, port: READY_PORT, method: 'GET', path: '/api/ready' })
			return answer.status === 200
		}
		if (!(await waitFor(isReady, START_TIMEOUT))) throw new Error(`${name} is not ready`)
		this.note(`${name} ready`)
	}

	/** Ends the process of a daemon as a loss of power or a kill does, and waits for its end. */
	async killDaemon(name) {
		const daemon = this.daemons.get(name)
		daemon.child.kill('SIGKILL')
		await waitFor(() => daemon.ended, 5_000)
	}

	/** Sends a client's call. Returns the status, 0 without an answer, and the decoded body. */
	async call(name, method, target, { body, key = 'key-1', deadline = 3_000 } = {}) {
		const answer = await send({
			host: this.getAddress(name),
			port: FRONT_PORT,
			method,
			path: target,
			headers: {
				Host: 'desk.example',
				'Content-Type': 'application/json',
				'Deadline-Ms': `${deadline}`,
				Authorization: `Bearer ${key}`,
			},
			body: body === undefined ? undefined : JSON.stringify(body),
			timeout: deadline,
		})
		this.note(
			`client ${method} ${target} at ${name} -> ${answer.status} ${answer.text.slice(0, 90)}`
		)
		return answer
	}

	/** Hands a job in until it is accepted, as clients do after 503, 504 or no answer. */
	async submit(name, id, body, { works = 1_000, key = 'key-1', tries = 20, getFailure } = {}) {
		this.jobs.set(id, { body, works, getFailure })
		for (let attempt = 1; attempt <= tries; attempt += 1) {
			const answer = await this.call(name, 'POST', `/quotes/${id}`, { body, key })
			if (answer.status === 200) return true
			await pause(300)
		}
		return false
	}

	async close() {
		for (const name of this.daemons.keys()) await this.killDaemon(name)
		for (const worker of this.workers) await worker.stop().catch(() => undefined)
		await this.cloud?.close()
		await this.store.close().catch(() => undefined)
		rmSync(this.folder, { recursive: true, force: true })
	}
}

/**
 * Runs a case: `play` returns the problems that it found. Writes the record and exits with the result.
 *
 * @param record - path of the file
 */
export async function runCase(record, options, play) {
	const isTroubled = process.env.TROUBLE !== '0'
	const deployment = new Deployment(options)
	const end = async (code, verdict) => {
		deployment.note(verdict)
		await deployment.close().catch(() => undefined)
		const header = `TROUBLE=${isTroubled ? 1 : 0}; seconds since the start\n`
		writeFileSync(record, `${header}${deployment.lines.join('\n')}\n`)
		console.log(verdict)
		process.exit(code)
	}
	const fail = (error) => end(EXIT.notRun, `not run: ${error.stack}`)
	process.once('uncaughtException', fail)
	process.once('SIGTERM', () => end(EXIT.notRun, 'not run: ended from outside'))
	const limit = setTimeout(() => end(EXIT.notRun, 'not run: time is over'), 110_000)
	limit.unref()
	try {
		const problems = await play(deployment, isTroubled)
		if (problems.length === 0) await end(EXIT.held, 'the rule held')
		for (const problem of problems) deployment.note(`BROKEN ${problem}`)
		await end(EXIT.broken, `the rule was broken: ${problems[0]}`)
	} catch (error) {
		await fail(error)
	}
}

export function createTenant(name, key, cpu = 0) {
	return { name, api_keys: [key], weight: 1, cap: { cpu } }
}

/** Counts entries of the deployment's record. */
export function countEvents(deployment, predicate) {
	return deployment.events.filter(predicate).length
}

/** One pool, so that no machine has another pool to go to. */
function createConfiguration({ tenants }) {
	return {
		version: 3,
		routes: [createRoute()],
		services: [{ name: 'desk', preconditions: true }],
		limits: { max_body_bytes: 262_144, idle_timeout_ms: 15_000 },
		tenants,
	}
}

function createRoute() {
	return {
		name: 'quotes',
		host: 'desk.example',
		path_prefix: '/quotes/',
		kind: 'non_idempotent',
		timeout_ms: 3_000,
		target_latency_ms: 600,
		priority: 0,
		service: 'desk',
		max_attempts: 2,
		stretch: 1.6,
	}
}

function createSettings(name, ip, network) {
	return `node = "${name}"
role = "daemon"
machine_class = "front"
serves = ["front"]
ip = "${ip}"
zone = "sala-ticino"
region = "padania"
port_range = [7000, 7015]
heartbeat_ms = ${WORKER_BOUNDS.heartbeat}
command_mode = "rpc"
[listen]
front = "${ip}:${FRONT_PORT}"
ready = "${ip}:${READY_PORT}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = ${WORKER_BOUNDS.hold}
stop_grace_ms = ${WORKER_BOUNDS.stop}
gang_wait_ms = ${WORKER_BOUNDS.gang}
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 2
restore_ms = 600
require_fencing = true
lease_ms = 3000
[platform]
address = "${network}.1:${STORE_PORT}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = ${STORE_LIMITS.parts}
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = ${STORE_LIMITS.recordBytes}
call_bytes = ${STORE_LIMITS.callBytes}
keep_s = 20
part_mb = 200
ttl_min_ms = 1000
[cloud]
address = "${network}.2:${STORE_PORT}"
rate_per_s = 64.0
duty_per_s = 64.0
`
}

/** Returns the words of the command by which the platform runs the daemon. */
function readDeployCommand() {
	const [, command] = /^run = "(.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
	return command.split(' ')
}

function send({ host, port, method, path: target, headers = {}, body, timeout = 1_000 }) {
	return new Promise((resolve) => {
		const settle = (status, text) => {
			let json
			try {
				json = JSON.parse(text)
			} catch {
				json = undefined
			}
			resolve({ status, text, json })
		}
		const outgoing = request(
			{ host, port, method, path: target, headers, agent: false },
			(answer) => {
				let text = ''
				answer.setEncoding('utf8')
				answer.on('data', (part) => (text += part))
				answer.on('end', () => settle(answer.statusCode, text))
				answer.on('error', () => settle(0, ''))
			}
		)
		outgoing.setTimeout(timeout, () => outgoing.destroy(new Error('no answer in time')))
		outgoing.on('error', (error) => settle(0, error.message))
		outgoing.end(body)
	})
}

function random(limit) {
	return Math.floor(Math.random() * limit)
}
