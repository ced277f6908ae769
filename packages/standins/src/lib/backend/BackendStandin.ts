import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'
import { listen } from '../http/listen.js'
import { readBody } from '../http/readBody.js'
import { sendJson } from '../http/sendJson.js'
import type { BackendFault } from './BackendFault.js'
import type { BackendRun } from './BackendRun.js'
import type { BackendStatistics } from './BackendStatistics.js'

const CHUNK_BYTES = 64 * 1024
const MAXIMUM_KEPT_RUNS = 5000
const NANOSECONDS_PER_MILLISECOND = 1e6

/** A run whose end is filled in later. */
type MutableBackendRun = { -readonly [Name in keyof BackendRun]: BackendRun[Name] }

/**
 * Stand-in for a backend server. The query parameter `run` of a request sets how long it runs, in
 * milliseconds, and `size` the length of its response in bytes. Without `size` the response is JSON
 * with the server's name and the request body. The control port (`/_control`) returns statistics;
 * `PUT` with `{"fault": ...}` sets the fault.
 *
 * @public
 */
export class BackendStandin {
	private readonly server: Server
	private readonly control: Server
	private fault: BackendFault = 'none'
	private running = 0
	private refused = 0
	private runs = 0
	private lastStartedAt = 0
	private connections = 0
	private readonly runningByTeam = new Map<string, number>()
	private readonly runsByRequest = new Map<string, number>()
	private readonly newestRuns: MutableBackendRun[] = []

	/** @param options - by default 8 `slots`, 64 `connections` and 20 `runMilliseconds` */
	constructor(
		private readonly options: {
			name: string
			slots?: number
			connections?: number
			runMilliseconds?: number
		}
	) {
		this.server = createServer((request, response) => {
			this.handle(request, response).catch(() => response.destroy())
		})
		this.server.maxConnections = options.connections ?? 64
		this.server.keepAliveTimeout = 60_000
		this.server.on('connection', (socket) => {
			this.connections += 1
			socket.on('close', () => (this.connections -= 1))
		})
		this.control = createServer((request, response) => {
			this.handleControl(request, response).catch(() => response.destroy())
		})
	}

	/**
	 * Starts listening on loopback. The control port is separate so that control requests do not
	 * use up connections of the backend server.
	 */
	async start(port = 0, controlPort = 0): Promise<{ port: number; controlPort: number }> {
		return {
			port: await listen(this.server, port),
			controlPort: await listen(this.control, controlPort),
		}
	}

	async stop(): Promise<void> {
		for (const server of [this.server, this.control]) {
			server.closeAllConnections()
			await new Promise((resolve) => server.close(resolve))
		}
	}

	setFault(fault: BackendFault): void {
		this.fault = fault
	}

	getStatistics(): BackendStatistics {
		return {
			running: this.running,
			connections: this.connections,
			refused: this.refused,
			runs: this.runs,
			runningByTeam: Object.fromEntries(this.runningByTeam),
			runsByRequest: Object.fromEntries(this.runsByRequest),
			lastStartedAt: this.lastStartedAt,
			newestRuns: this.newestRuns,
		}
	}

	private async handleControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.method === 'PUT') {
			const body = JSON.parse(await readBody(request)) as { fault: BackendFault }
			this.setFault(body.fault)
		}
		sendJson(response, 200, { fault: this.fault, ...this.getStatistics() })
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/healthz') {
			this.answerHealth(response)
			return
		}
		if (this.fault === 'leaving' || this.running >= (this.options.slots ?? 8)) {
			this.refuse(request, response)
			return
		}
		await this.run(request, response)
	}

	private answerHealth(response: ServerResponse): void {
		if (this.fault === 'frozen') return
		const isHealthy = this.fault === 'none' || this.fault === 'leaving'
		sendJson(response, isHealthy ? 200 : 500, { status: this.fault })
	}

	private refuse(request: IncomingMessage, response: ServerResponse): void {
		this.refused += 1
		request.resume()
		response.setHeader('mastichead-verdict', 'not-run')
		response.setHeader('retry-after', '1')
		sendJson(response, 503, { error: this.fault === 'leaving' ? 'leaving' : 'full' })
	}

	private async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const team = String(request.headers['mastichead-team'] ?? '')
		const requestId = String(request.headers['mastichead-request-id'] ?? '')
		this.running += 1
		this.runs += 1
		this.lastStartedAt = Date.now()
		addToCount(this.runningByTeam, team, 1)
		addToCount(this.runsByRequest, requestId, 1)
		const run = this.addRun(team)
		try {
			await this.answer(request, response, run)
		} finally {
			run.endedAt ??= getMonotonicMilliseconds()
			this.running -= 1
			addToCount(this.runningByTeam, team, -1)
		}
	}

	private addRun(team: string): MutableBackendRun {
		const run: MutableBackendRun = { team, startedAt: getMonotonicMilliseconds() }
		this.newestRuns.push(run)
		if (this.newestRuns.length > MAXIMUM_KEPT_RUNS) this.newestRuns.shift()
		return run
	}

	/**
	 * Answers a request. The run of a short response ends before the response is sent, because a
	 * caller that has received it may start another run at once.
	 */
	private async answer(
		request: IncomingMessage,
		response: ServerResponse,
		run: MutableBackendRun
	): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://backend')
		if (this.fault === 'frozen') {
			request.resume()
			await once(response, 'close')
			return
		}
		if (this.fault === 'failing') {
			request.resume()
			sendJson(response, 500, { error: 'failing' })
			return
		}
		const body = await readBody(request)
		await delay(Number(url.searchParams.get('run') ?? this.options.runMilliseconds ?? 20))
		if (await this.answerWithFault(response)) return
		const size = Number(url.searchParams.get('size') ?? 0)
		if (size > 0) {
			await sendBytes(response, size)
			return
		}
		run.endedAt = getMonotonicMilliseconds()
		sendJson(response, 200, { server: this.options.name, body })
	}

	/** Answers as the fault demands; returns false if the fault does not affect responses. */
	private async answerWithFault(response: ServerResponse): Promise<boolean> {
		const { socket } = response
		switch (this.fault) {
			case 'malformed':
				socket?.end('this is not HTTP\r\n\r\n')
				return true
			case 'reset':
			case 'truncated':
				response.writeHead(200, { 'content-length': 2 * CHUNK_BYTES })
				response.write(Buffer.alloc(CHUNK_BYTES))
				await delay(10)
				if (this.fault === 'reset') socket?.resetAndDestroy()
				else socket?.destroy()
				return true
			case 'none':
			case 'failing':
			case 'frozen':
			case 'leaving':
				return false
		}
	}
}

function getMonotonicMilliseconds(): number {
	return Number(process.hrtime.bigint()) / NANOSECONDS_PER_MILLISECOND
}

function addToCount(counts: Map<string, number>, name: string, delta: number): void {
	const count = (counts.get(name) ?? 0) + delta
	if (count === 0) counts.delete(name)
	else counts.set(name, count)
}

async function sendBytes(response: ServerResponse, size: number): Promise<void> {
	response.writeHead(200, { 'content-length': size })
	for (let sent = 0; sent < size && !response.destroyed; sent += CHUNK_BYTES) {
		const canWriteMore = response.write(Buffer.alloc(Math.min(CHUNK_BYTES, size - sent), 120))
		if (!canWriteMore) await Promise.race([once(response, 'drain'), once(response, 'close')])
	}
	response.end()
}
