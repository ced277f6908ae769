import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import type { Refusal } from './Refusal.js'

/**
 * Watches the connections of an HTTP server: answers what is not HTTP or one connection too many, and
 * lets each end with the answer that is under way once the server leaves.
 *
 * @internal
 */
export class CallerConnections {
	/** Answers under way by connection. */
	private readonly responses = new Map<Duplex, ServerResponse>()
	private isClosing = false

	constructor(server: Server) {
		server.prependListener('request', (request, response) => {
			this.handleRequest(request, response)
		})
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.handleError(error, socket)
		})
	}

	/** Lets every connection end with the answer that is under way, or with the next one. */
	closeAfterResponses(): void {
		this.isClosing = true
		for (const response of this.responses.values()) closeAfter(response)
	}

	/** Answers under way. */
	get pendingResponseCount(): number {
		return this.responses.size
	}

	/** Answers a connection that is over the limit of its caller. */
	refuseOverLimit(socket: Socket): void {
		endWith(socket, tooManyConnections)
	}

	private handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const { socket } = request
		this.responses.set(socket, response)
		if (this.isClosing) closeAfter(response)
		response.once('close', () => {
			if (this.responses.get(socket) === response) this.responses.delete(socket)
		})
	}

	/** An answer that is under way cannot be replaced by an error; it ends with its connection. */
	private handleError(error: NodeJS.ErrnoException, socket: Duplex): void {
		if (this.responses.has(socket) || !socket.writable) {
			socket.destroy()
			return
		}
		endWith(socket, createErrorRefusal(error.code ?? ''))
	}
}

const tooManyConnections: Refusal = {
	status: 503,
	error: 'too-many-connections',
	message: 'this address holds too many connections',
	verdict: 'not-run',
	retryAfter: 1000,
}

function createErrorRefusal(code: string): Refusal {
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

function closeAfter(response: ServerResponse): void {
	if (!response.headersSent) response.setHeader('connection', 'close')
	else {
		response.once('finish', () => {
			response.req.socket.destroySoon()
		})
	}
}

function endWith(socket: Duplex, refusal: Refusal): void {
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
