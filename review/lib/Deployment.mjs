import { mkdtempSync, rmSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { CloudStandin, StoreStandin } from '../../packages/standins/dist/index.js'
import { BackendServer } from './BackendServer.mjs'
import { Daemon } from './Daemon.mjs'
import { StoreGate } from './StoreGate.mjs'
import { createConfiguration } from './createConfiguration.mjs'

const CALL_TIMEOUT_MILLISECONDS = 3_000
const READY_TIMEOUT_MILLISECONDS = 15_000
const SERVICE = 'desk'
const HOST = 'desk.example'
const KEY = 'key-1'

/** A small deployment: the store, entry instances with a daemon each, and backend servers. */
export class Deployment {
	store = new StoreStandin()
	/** No machine moves: there is one pool. An upkeep takes 2 s. */
	cloud = new CloudStandin({ store: this.store, duration: 2_000, sparePool: '' })
	/** @type {Daemon[]} */
	daemons = []
	/** @type {BackendServer[]} */
	servers = []
	#closers = []

	constructor(recorder) {
		this.recorder = recorder
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-'))
		const random = () => 1 + Math.floor(Math.random() * 250)
		this.network = `127.${random()}.${random()}`
		this.storeAddress = `${this.network}.1:8344`
		this.cloudAddress = `${this.network}.2:8344`
	}

	/** Starts the platform: the store with the operator's configuration, and the control of machines. */
	async startPlatform(configuration = createConfiguration()) {
		await this.store.listen(`${this.network}.1`, 8344)
		this.closeAtEnd(() => this.store.close())
		await this.cloud.listen(`${this.network}.2`, 8344)
		this.closeAtEnd(() => this.cloud.close())
		this.store.put('keyed.op', 'config', configuration)
	}

	/** Starts backend servers, whose tasks last `duration` milliseconds, and registers them. */
	async startServers(count, duration) {
		const { network, store, recorder } = this
		for (let number = 1; number <= count; number += 1) {
			const server = new BackendServer({
				number,
				network,
				duration,
				service: SERVICE,
				store,
				recorder,
			})
			await server.listen()
			this.closeAtEnd(() => server.close())
			this.cloud.addMachine(server.machine, SERVICE, server.runs, server.address)
			this.servers.push(server)
		}
	}

	/** Starts daemons and waits until all are ready. */
	async startDaemons(count) {
		const ips = Array.from({ length: count }, (_, index) => `${this.network}.${11 + index}`)
		for (const [index, ip] of ips.entries()) {
			const gate = new StoreGate(this.storeAddress, this.recorder)
			const gateHost = `${this.network}.${51 + index}`
			await gate.listen(gateHost, 8344)
			this.closeAtEnd(() => gate.close())
			const daemon = new Daemon({
				name: `front-a-${index + 1}`,
				ip,
				seeds: ips.slice(0, 3),
				store: `${gateHost}:8344`,
				gate,
				cloud: this.cloudAddress,
				folder: this.folder,
				recorder: this.recorder,
			})
			this.daemons.push(daemon)
			daemon.start()
		}
		await Promise.all(this.daemons.map((daemon) => this.waitUntilReady(daemon)))
	}

	async waitUntilReady(daemon) {
		const until = Date.now() + READY_TIMEOUT_MILLISECONDS
		for (;;) {
			const status = await getReadiness(daemon.ip)
			if (status === 200) return
			if (Date.now() > until) throw new Error(`${daemon.name} is not ready`)
			await delay(100)
		}
	}

	/** Resolves to the daemon that places the tasks, by its metrics. */
	async findOwner() {
		for (let tries = 0; tries < 100; tries += 1) {
			for (const daemon of this.daemons) {
				const { text } = await sendCall(daemon.ip, 'GET', '/metrics', undefined, 7000)
				if (text.includes('mastichead_owner 1')) return daemon
			}
			await delay(100)
		}
		throw new Error('no daemon places tasks')
	}

	/** Calls a daemon as a client does. Resolves to a status of 0 if no answer came in time. */
	async call(daemon, method, callPath, body, { isRecorded = true } = {}) {
		const answer = await sendCall(daemon.ip, method, callPath, body)
		if (isRecorded) {
			const sent = body === undefined ? '' : ` ${body.slice(0, 200)}`
			this.recorder.write(`client -> ${daemon.name} ${method} ${callPath}${sent}`)
			this.recorder.write(`client <- ${daemon.name} ${answer.status} ${answer.text}`)
		}
		return answer
	}

	/** Registers `close` to be called at the end. */
	closeAtEnd(close) {
		this.#closers.push(close)
	}

	/** Ends everything that was started. */
	async close() {
		for (const daemon of this.daemons) await daemon.kill()
		for (const close of this.#closers.reverse()) await close()
		rmSync(this.folder, { recursive: true, force: true })
	}
}

function getReadiness(ip) {
	return sendCall(ip, 'GET', '/api/ready', undefined, 8343).then(({ status }) => status)
}

function sendCall(host, method, callPath, body, port = 8340) {
	return new Promise((resolve) => {
		const headers = {
			Host: HOST,
			Authorization: `Bearer ${KEY}`,
			'Content-Type': 'application/json',
			'Deadline-Ms': `${CALL_TIMEOUT_MILLISECONDS}`,
		}
		const timeout = CALL_TIMEOUT_MILLISECONDS
		const call = request({ host, port, method, path: callPath, headers, timeout, agent: false })
		const fail = (detail) => resolve({ status: 0, text: detail })
		call.on('timeout', () => call.destroy(new Error('no answer in time')))
		call.on('error', (error) => fail(error.message))
		call.on('response', (response) => {
			let text = ''
			response.setEncoding('utf8').on('data', (piece) => (text += piece))
			response.on('end', () => resolve({ status: response.statusCode, text }))
			response.on('error', (error) => fail(error.message))
		})
		call.end(body)
	})
}
