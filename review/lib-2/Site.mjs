/**
 * A small deployment on loopback addresses: the store, the control of machines and the workers in this
 * process, and the project's daemons as processes of their own, started as the deploy file says.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import net from 'node:net'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { Cloud } from './Cloud.mjs'
import { Store } from './Store.mjs'
import { Worker } from './Worker.mjs'
import { send } from './http.mjs'

const HEARTBEAT = 1_500
const FRONT_PORT = 8340
const READY_PORT = 8343
const HOST = 'desk.example'
const KEY = 'key-of-team-a'
const FREE_TRIES = 50

export class Site {
	lines = []
	daemons = new Map()
	workers = new Map()
	beats = new Map()
	startedAt = performance.now()

	constructor() {
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'))
	}

	/** Notes what happened, for record.txt. */
	note(kind, fields) {
		const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3)
		this.lines.push({ at: Number(at), kind, ...fields })
	}

	/** Finds a free loopback network, and starts the store and the control of machines there. */
	async open() {
		for (let attempt = 0; ; attempt += 1) {
			const [a, b] = [2, 2].map(() => 1 + Math.floor(Math.random() * 250))
			this.net = `127.${a}.${b}`
			if (await isFree(`${this.net}.1`, 7000)) break
			if (attempt > FREE_TRIES) throw new Error('no free loopback addresses')
		}
		const report = (kind, fields) => this.note(kind, fields)
		this.report = report
		this.store = new Store()
		await this.store.listen(`${this.net}.1`, 8344)
		this.cloud = new Cloud({ report, onMoved: (row) => void this.addWorkerOn(row) })
		await this.cloud.listen(`${this.net}.2`, 8344)
	}

	/** Writes the configuration, as the operator does. */
	configure({ version = 1, services, routes, tenants }) {
		this.store.put('keyed.op', 'config', {
			version,
			routes: routes.map((route) => ({
				...{ host: HOST, kind: 'non_idempotent', timeout_ms: 3000, target_latency_ms: 600 },
				...{ priority: 0, max_attempts: 2, stretch: 1.6, public: false },
				...route,
			})),
			services: services.map((service) => ({
				...{ health_path: '/health', max_conns: 64, protocol: 'h1', tls: false },
				...{ preconditions: true, spare: false },
				...service,
			})),
			limits: {
				...{ max_header_bytes: 16384, max_body_bytes: 262144 },
				...{ header_timeout_ms: 3000, idle_timeout_ms: 15000 },
			},
			tenants: tenants ?? [{ name: 'team-a', api_keys: [KEY], priority: 1, weight: 35, cap: {} }],
		})
	}

	workerNumber = 0
	/** Sets up each new worker. */
	prepare = () => undefined

	addMachine(machine, pool) {
		this.cloud.machines.set(machine, { machine, pool, state: 'up' })
		return this.cloud.machines.get(machine)
	}

	/** Starts a worker on a machine and registers it. */
	async addWorkerOn(row) {
		if (this.isSpare?.(row.pool)) return undefined
		this.workerNumber += 1
		const number = this.workerNumber
		const worker = new Worker({
			id: `i-${String(number).padStart(4, '0')}`,
			machine: row.machine,
			service: row.pool,
			host: `${this.net}.${50 + (number % 200)}`,
			port: 8080 + Math.floor(number / 200),
			capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 },
			report: this.report,
			duration: (task, spec) => (spec === 'lasting' ? undefined : Number(spec.split(' ')[0])),
		})
		this.prepare(worker)
		await worker.start()
		row.worker = worker
		this.workers.set(worker.id, worker)
		this.beat(worker)
		return worker
	}

	/** Writes a worker's entry now and at each heartbeat while it is up; then the entry expires. */
	beat(worker) {
		let seq = 0
		const write = () => {
			if (!worker.up) {
				clearInterval(timer)
				setTimeout(() => {
					if (!worker.up) this.store.put('keyed.servers', worker.id, undefined)
				}, 3 * HEARTBEAT)
				return
			}
			seq += 1
			this.store.put('keyed.servers', worker.id, worker.registration(seq))
		}
		const timer = setInterval(write, HEARTBEAT)
		this.beats.set(worker.id, timer)
		write()
	}

	/** Starts a daemon as the deploy file does. */
	startDaemon(number) {
		const name = `front-a-${number}`
		const ip = `${this.net}.${10 + number}`
		const settings = path.join(this.folder, `${name}.toml`)
		writeFileSync(settings, this.createSettings(name, ip))
		const log = openSync(path.join(this.folder, `${name}.log`), 'a')
		const [program, ...args] = readRunCommand()
		const child = spawn(program === 'node' ? process.execPath : program, args, {
			env: { PATH: process.env.PATH, HOME: process.env.HOME, MASTICHEAD_CONFIG: settings },
			stdio: ['ignore', log, log],
		})
		const daemon = { name, ip, child, exits: 0 }
		child.on('exit', (code, signal) => {
			daemon.exited = true
			this.note('daemon-exit', { name, code, signal })
			this.onExit?.(number, code, signal)
		})
		this.daemons.set(number, daemon)
		this.note('daemon-start', { name })
		return daemon
	}

	createSettings(node, ip) {
		return `node = "${node}"
role = "daemon"
machine_class = "front"
serves = ["front"]
ip = "${ip}"
zone = "a"
region = "r"
port_range = [7000,7015]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = ${HEARTBEAT}
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
command_mode = "rpc"
[zones]
a = "r"
[listen]
front = "${ip}:${FRONT_PORT}"
ready = "${ip}:${READY_PORT}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
hold_max_ms = 6000
stop_grace_ms = 400
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
move_s = 1.5
upkeep_s = 2
require_fencing = true
lease_ms = 3000
[platform]
address = "${this.store.address}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud]
address = "${this.cloud.address}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
`
	}

	/** Sends a client's call to a daemon and notes it. */
	async call(number, method, target, body, { timeout = 3_000, quiet = false, key = KEY } = {}) {
		const { ip, name } = this.daemons.get(number)
		const answer = await send({
			...{ host: ip, port: FRONT_PORT, method, path: target, timeout },
			headers: { Host: HOST, Authorization: `Bearer ${key}`, 'Deadline-Ms': `${timeout}` },
			body: body === undefined ? '' : JSON.stringify(body),
		})
		if (!quiet)
			this.note('call', {
				name,
				method,
				target,
				status: answer.status,
				text: answer.text.slice(0, 80),
			})
		return answer
	}

	/** Submits a job as a client does: the same request again after no answer, 502, 503 or 504. */
	async submit(target, body, numbers = [...this.daemons.keys()], tries = 5) {
		for (let attempt = 0; attempt < tries; attempt += 1) {
			const { status } = await this.call(numbers[attempt % numbers.length], 'POST', target, body)
			if (![0, 429, 502, 503, 504].includes(status)) return status
			await delay(500)
		}
		return 0
	}

	/** Returns the state that a daemon shows for a job, or its status without one. */
	async getState(target, number, key = KEY) {
		const { status, text } = await this.call(number, 'GET', target, undefined, { quiet: true, key })
		return status === 200 ? JSON.parse(text).state : `status ${status}`
	}

	async isReady(number) {
		const { ip } = this.daemons.get(number)
		const { status } = await send({ host: ip, port: READY_PORT, method: 'GET', path: '/api/ready' })
		return status === 200
	}

	/** Number of the daemon that says it is the owner; undefined if none does. */
	async findOwner() {
		for (const [number, { ip, exited }] of this.daemons) {
			if (exited) continue
			const { text } = await send({ host: ip, port: 7000, method: 'GET', path: '/metrics' })
			if (/^mastichead_owner 1$/m.test(text)) return number
		}
		return undefined
	}

	async waitFor(what, check, timeout) {
		const until = performance.now() + timeout
		while (performance.now() < until) {
			if (await check()) return true
			await delay(50)
		}
		this.note('not-seen', { what, timeout })
		return false
	}

	/** Waits until all daemons take callers and one is the owner; fails the case as not run otherwise. */
	async waitUntilReady() {
		const isUp = async () => {
			for (const number of this.daemons.keys()) if (!(await this.isReady(number))) return false
			return (await this.findOwner()) !== undefined
		}
		if (!(await this.waitFor('daemons ready', isUp, 20_000))) throw new NotRun('daemons not ready')
	}

	readLog(number) {
		return readFileSync(path.join(this.folder, `${this.daemons.get(number).name}.log`), 'utf8')
	}

	/** Ends everything that was started. */
	close() {
		this.closing = true
		for (const { child, exited } of this.daemons.values()) if (!exited) child.kill('SIGKILL')
		for (const timer of this.beats.values()) clearInterval(timer)
		for (const worker of this.workers.values()) worker.crash()
		this.store?.server.kill()
		this.cloud?.server.kill()
		rmSync(this.folder, { recursive: true, force: true })
	}
}

/** The case could not be set up, so that it says nothing about the rule. */
export class NotRun extends Error {}

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(recordFile, play) {
	const site = new Site()
	const isTrouble = process.env.TROUBLE !== '0'
	const limit = setTimeout(() => finish(2, 'time limit'), 115_000)
	let finished = false
	function finish(code, verdict) {
		if (finished) return
		finished = true
		clearTimeout(limit)
		site.close()
		const head = [`TROUBLE=${isTrouble ? 1 : 0}`, `verdict: ${verdict}`, `exit ${code}`, '']
		const lines = site.lines.map(({ at, kind, ...fields }) => {
			const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`)
			return `${at.toFixed(3).padStart(8)} ${kind} ${text.join(' ')}`
		})
		writeFileSync(recordFile, [...head, ...lines].join('\n') + '\n')
		console.log(verdict)
		process.exit(code)
	}
	for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => finish(2, signal))
	for (const event of ['uncaughtException', 'unhandledRejection'])
		process.on(event, (error) => finish(2, error?.stack ?? String(error)))
	try {
		await site.open()
		const { broken, verdict } = await play(site, isTrouble)
		finish(broken ? 1 : 0, verdict)
	} catch (error) {
		finish(2, error instanceof NotRun ? error.message : (error.stack ?? String(error)))
	}
}

function readRunCommand() {
	const text = readFileSync('deploy/system.toml', 'utf8')
	return /^run = "(.*)"$/m.exec(text)[1].split(' ')
}

function isFree(host, port) {
	return new Promise((resolve) => {
		const server = net.createServer()
		server.once('error', () => resolve(false))
		server.listen(port, host, () => server.close(() => resolve(true)))
	})
}
