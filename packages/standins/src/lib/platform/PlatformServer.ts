import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { listen } from '../http/listen.js'
import { readBody } from '../http/readBody.js'
import { sendJson } from '../http/sendJson.js'
import { InstanceList } from './InstanceList.js'
import type { ListedInstance } from './ListedInstance.js'
import { MaintenanceJobs } from './MaintenanceJobs.js'
import type { PlatformFaults } from './PlatformFaults.js'
import { PlatformLog } from './PlatformLog.js'

const MAXIMUM_READ_RECORDS = 5000
const MAXIMUM_WAIT_MILLISECONDS = 10_000

/**
 * Stand-in for the platform, over HTTP: an append-only log, an instance list with a lag and
 * maintenance jobs. `PUT /faults` sets faults.
 *
 * @public
 */
export class PlatformServer {
	private readonly log: PlatformLog
	private readonly instances = new InstanceList()
	private readonly jobs = new MaintenanceJobs()
	private readonly server: Server
	private faults: PlatformFaults = {
		outage: false,
		appendDelayMilliseconds: 0,
		readDelayMilliseconds: 0,
		loseAppendAnswers: 0,
		cutInstances: [],
		listLagMilliseconds: 0,
		clockAheadMilliseconds: 0,
	}
	private readonly startedAt = Date.now()
	private appends = 0
	private records = 0
	/** Total bytes of response bodies to reads of the log and the instance list. */
	private bytes = 0

	/** @param options - `retention`: number of records that the log keeps, 100,000 by default */
	constructor(options: { retention?: number } = {}) {
		this.log = new PlatformLog(options.retention ?? 100_000)
		this.server = createServer((request, response) => {
			this.handle(request, response).catch(() => response.destroy())
		})
	}

	/** Starts listening on loopback and returns the port. */
	start(port = 0): Promise<number> {
		return listen(this.server, port)
	}

	async stop(): Promise<void> {
		this.server.closeAllConnections()
		await new Promise((resolve) => this.server.close(resolve))
	}

	setFaults(faults: Partial<PlatformFaults>): void {
		this.faults = { ...this.faults, ...faults }
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://platform')
		if (url.pathname === '/faults') {
			await this.handleFaults(request, response)
			return
		}
		const instance = String(request.headers['mastichead-instance'] ?? '')
		if (this.faults.cutInstances.includes(instance)) {
			request.socket.destroy()
			return
		}
		if (this.faults.outage) {
			sendJson(response, 503, { error: 'outage' })
			return
		}
		if (url.pathname === '/log/append') await this.handleAppend(request, response)
		else if (url.pathname === '/log/read') await this.handleRead(url, response)
		else if (url.pathname.startsWith('/instances')) {
			await this.handleInstances(url, request, response)
		} else sendJson(response, 404, { error: 'not found' })
	}

	private async handleFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.method === 'PUT') {
			this.setFaults(JSON.parse(await readBody(request)) as Partial<PlatformFaults>)
		}
		sendJson(response, 200, { ...this.faults, ...this.getCounts() })
	}

	private getCounts(): { appends: number; records: number; bytes: number } {
		return { appends: this.appends, records: this.records, bytes: this.bytes }
	}

	private async handleAppend(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = JSON.parse(await readBody(request)) as { records: string[] }
		await delay(this.faults.appendDelayMilliseconds)
		const offsets = this.log.append(body.records, Date.now() + this.faults.clockAheadMilliseconds)
		this.appends += 1
		this.records += body.records.length
		if (this.faults.loseAppendAnswers > 0) {
			this.setFaults({ loseAppendAnswers: this.faults.loseAppendAnswers - 1 })
			request.socket.destroy()
			return
		}
		sendJson(response, 200, { offsets })
	}

	private async handleRead(url: URL, response: ServerResponse): Promise<void> {
		const from = Number(url.searchParams.get('from') ?? 0)
		const limit = Math.min(Number(url.searchParams.get('limit') ?? 1000), MAXIMUM_READ_RECORDS)
		const wait = Math.min(Number(url.searchParams.get('wait') ?? 0), MAXIMUM_WAIT_MILLISECONDS)
		await delay(this.faults.readDelayMilliseconds)
		await this.log.waitFor(from, wait)
		if (this.faults.outage) {
			sendJson(response, 503, { error: 'outage' })
			return
		}
		if (from < this.log.first) {
			sendJson(response, 410, { first: this.log.first })
			return
		}
		const entries = this.log.read(from, limit)
		this.bytes += sendJson(response, 200, {
			first: this.log.first,
			next: from + entries.length,
			entries,
		})
	}

	private async handleInstances(
		url: URL,
		request: IncomingMessage,
		response: ServerResponse
	): Promise<void> {
		const [, , name = '', part] = url.pathname.split('/').map(decodeURIComponent)
		if (part === 'maintenance') {
			const body = request.method === 'POST' ? await readBody(request) : ''
			sendJson(response, 200, this.jobs.handle(name, body))
			return
		}
		if (request.method === 'PUT') this.putInstances(await readBody(request))
		if (request.method === 'DELETE') this.instances.remove(name, Date.now())
		const shownAt = Date.now() - this.faults.listLagMilliseconds
		const entityTag = `"${this.startedAt}-${this.instances.getVersion(shownAt)}"`
		response.setHeader('etag', entityTag)
		if (request.method === 'GET' && request.headers['if-none-match'] === entityTag) {
			response.writeHead(304).end()
			return
		}
		this.bytes += sendJson(response, 200, { instances: this.instances.getRows(shownAt) })
	}

	/** @param body - JSON of one instance or an array of instances */
	private putInstances(body: string): void {
		const rows = JSON.parse(body) as ListedInstance | readonly ListedInstance[]
		this.instances.put([rows].flat(), Date.now())
	}
}
