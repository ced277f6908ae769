import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import type { Refusal } from './Refusal.js'

/**
 * Tracks the connections of an HTTP server. Responds to malformed requests and to connections over
 * the limit, and during a shutdown closes connections after their responses.
 *
 * @internal
 */
export class CallerConnections {
	/** The pending response of each connection. */
	private readonly responses = new Map<Duplex, ServerResponse>()
	/** Connections to close after their next response. */
	private closing: 'none' | 'opened-before' | 'all' = 'none'
	private usedConnections = new WeakSet<Duplex>()
	/** Connections on which a caller had sent a request before the shutdown. */
	private earlierConnections = new WeakSet<Duplex>()
	private recordedRequestCount = 0
	private recordedConnectionCount = 0

	constructor(server: Server) {
		server.prependListener('request', (request, response) => {
			this.handleRequest(request, response)
		})
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.handleClientError(error, socket)
		})
	}

	/**
	 * Closes each connection after its pending response, or after its next one. With `opened-before`,
	 * connections whose first request comes later stay open: their callers would come back here, and
	 * the port cannot be closed while connections wait to be accepted.
	 */
	closeAfterResponses(connections: 'opened-before' | 'all'): void {
		if (this.closing === 'none') {
			this.earlierConnections = this.usedConnections
			this.usedConnections = new WeakSet()
		}
		this.closing = connections
		for (const response of this.responses.values()) closeAfterResponse(response)
	}

	/** Counts a request and its connection; not called for health probes. */
	recordRequest({ socket }: IncomingMessage): void {
		this.recordedRequestCount++
		if (this.usedConnections.has(socket)) return
		this.usedConnections.add(socket)
		this.recordedConnectionCount++
	}

	/** Number of recorded requests. */
	get requestCount(): number {
		return this.recordedRequestCount
	}

	/** Number of connections with a recorded request; the start of a shutdown counts them anew. */
	get usedConnectionCount(): number {
		return this.recordedConnectionCount
	}

	/** Number of pending responses. */
	get pendingResponseCount(): number {
		return this.responses.size
	}

	/** Sends a refusal on a connection over the caller's limit and closes it. */
	refuseOverLimit(socket: Socket): void {
		endWithRefusal(socket, tooManyConnections)
	}

	private handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const { socket } = request
		this.responses.set(socket, response)
		if (this.closing === 'all' || this.earlierConnections.has(socket)) closeAfterResponse(response)
		response.once('close', () => {
			if (this.responses.get(socket) === response) this.responses.delete(socket)
		})
	}

	/** Destroys a connection with a pending response: an error can no longer replace that response. */
	private handleClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
		if (this.responses.has(socket) || !socket.writable) {
			socket.destroy()
			return
		}
		endWithRefusal(socket, createClientErrorRefusal(error.code ?? ''))
	}
}

const tooManyConnections: Refusal = {
	status: 503,
	error: 'too-many-connections',
	message: 'this address holds too many connections',
	verdict: 'not-run',
	retryAfter: 1000,
}

function createClientErrorRefusal(code: string): Refusal {
	const refusal = { error: 'request-malformed', verdict: 'not-run' } as const
	switch (code) {
		case 'HPE_HEADER_OVERFLOW':
			return { ...refusal, status: 431, message: 'the headers are over the limit' }
		case 'ERR_HTTP_REQUEST_TIMEOUT':
			return { ...refusal, status: 408, message: 'the request did not come in time' }
		default:
			return { ...refusal, status: 400, message: 'this is not an HTTP request' }
	}
}

function closeAfterResponse(response: ServerResponse): void {
	if (!response.headersSent) response.setHeader('connection', 'close')
	else {
		response.once('finish', () => {
			response.req.socket.destroySoon()
		})
	}
}

function endWithRefusal(socket: Duplex, refusal: Refusal): void {
	const { status, error, message, verdict, retryAfter } = refusal
	const text = JSON.stringify({ error: { type: error, message }, verdict })
	const lines = [
		`HTTP/1.1 ${status} Refused`,
		'Content-Type: application/json',
		`Content-Length: ${Buffer.byteLength(text)}`,
		`Mastichead-Verdict: ${verdict}`,
		'Connection: close',
	]
	if (retryAfter !== undefined) lines.push(`Retry-After: ${Math.ceil(retryAfter / 1000)}`)
	socket.end(`${lines.join('\r\n')}\r\n\r\n${text}`, () => {
		socket.destroy()
	})
}
