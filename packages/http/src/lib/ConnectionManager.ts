import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as TlsServer } from 'node:https'
import type { Socket } from 'node:net'
import type { ClientConnection } from './ClientConnection.js'
import type { ClientLimits } from './ClientLimits.js'
import { ConnectionTable } from './ConnectionTable.js'
import type { Disconnection } from './Disconnection.js'
import { ParsingQueue } from './ParsingQueue.js'

/** What is read and dropped of a client that still sends after its last answer, in bytes. */
const DROPPED_BYTES = 262_144
/** Time after which such a connection is closed, in milliseconds. */
const LINGER_TIME = 1_000

/**
 * Keeps what the clients of an HTTP server hold and cost within limits: connections, requests ahead, and the
 * parsing of what they send. Works with TLS as well; a connection then counts from before its handshake.
 *
 * @public
 */
export class ConnectionManager {
	private readonly table: ConnectionTable
	private readonly parsing: ParsingQueue
	/** Connections whose TLS handshake has not ended, by the client's address. */
	private readonly handshakes = new Map<string, Socket>()
	/** Connections below those with TLS. */
	private readonly underlying = new WeakMap<Socket, Socket>()
	/** Responses that end the serving of their requests, by connection. */
	private readonly unanswered = new Map<ClientConnection, Set<ServerResponse>>()

	/**
	 * @param options.server - a server that does not listen yet
	 * @param options.admits - whether a new connection may stay; if not, it is left to who says so
	 * @param options.onDisconnect - called with each connection that is closed beyond a limit
	 */
	constructor(options: {
		readonly server: Server | TlsServer
		readonly limits: ClientLimits
		readonly admits?: (socket: Socket) => boolean
		readonly onDisconnect: (disconnection: Disconnection) => void
	}) {
		const { server, limits, admits = () => true, onDisconnect } = options
		this.table = new ConnectionTable({ limits, onDisconnect })
		this.parsing = new ParsingQueue({
			limit: limits.unparsedBytes,
			onOverload: (socket, reason) => {
				this.table.close(this.getUnderlying(socket), reason)
			},
		})
		server.on('connection', (socket: Socket) => {
			if (!admits(socket)) return
			this.table.add(socket)
			if (socket.destroyed) return
			if (server instanceof TlsServer) this.addHandshake(socket)
			else this.parsing.add(socket)
		})
		server.on('secureConnection', (socket: Socket) => {
			this.endHandshake(socket)
			this.parsing.add(socket)
		})
	}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.table.connectionCount
	}

	/** Number of requests whose answers have not been sent whole. */
	get callCount(): number {
		return this.table.callCount
	}

	/** Whether a further request is beyond the limit over all connections. */
	get isFull(): boolean {
		return this.table.isFull
	}

	/**
	 * Begins a request.
	 *
	 * @returns the connection, or undefined if the request must not be served, since its connection is closed
	 */
	begin(request: IncomingMessage, response: ServerResponse): ClientConnection | undefined {
		const connection = this.table.beginCall(this.getUnderlying(request.socket))
		if (!connection) return undefined
		response.once('finish', () => {
			this.table.endCall(connection)
		})
		return connection
	}

	/** Notes that a request has been read whole and is being served; its connection is not closed for others. */
	startServing(connection: ClientConnection): void {
		this.table.startServing(connection)
	}

	/** Notes that a request which was being served has got its answer. */
	endServing(connection: ClientConnection): void {
		this.table.endServing(connection)
	}

	/** Serves a request that has been read whole until its answer has been sent or its connection is closed. */
	serveUntilAnswered(connection: ClientConnection, response: ServerResponse): void {
		if (response.destroyed || connection.socket.destroyed) return
		this.table.startServing(connection)
		this.getUnanswered(connection).add(response)
		response.once('close', () => {
			if (this.unanswered.get(connection)?.delete(response)) this.table.endServing(connection)
		})
	}

	/** Parses nothing more of a connection whose client still sends, and soon reads nothing more either. */
	stopParsing(socket: Socket): void {
		this.parsing.drop(socket, DROPPED_BYTES)
	}

	/**
	 * Closes a connection whose client still sends, after what has been written. It is read on for a while:
	 * closed with unread data, it would be reset, and the client might lose the answer.
	 */
	closeGracefully(socket: Socket): void {
		this.stopParsing(socket)
		socket.end()
		const timer = setTimeout(() => socket.destroy(), LINGER_TIME)
		socket.once('close', () => {
			clearTimeout(timer)
		})
	}

	private getUnanswered(connection: ClientConnection): Set<ServerResponse> {
		const known = this.unanswered.get(connection)
		if (known) return known
		const responses = new Set<ServerResponse>()
		this.unanswered.set(connection, responses)
		// Responses that wait for another one do not learn that their connection has been closed.
		connection.socket.once('close', () => {
			this.unanswered.delete(connection)
			for (let left = responses.size; left > 0; left -= 1) this.table.endServing(connection)
		})
		return responses
	}

	private addHandshake(socket: Socket): void {
		const address = getAddress(socket)
		this.handshakes.set(address, socket)
		socket.once('close', () => {
			if (this.handshakes.get(address) === socket) this.handshakes.delete(address)
		})
	}

	private endHandshake(socket: Socket): void {
		const address = getAddress(socket)
		const underlying = this.handshakes.get(address)
		if (!underlying) return
		this.handshakes.delete(address)
		this.underlying.set(socket, underlying)
	}

	private getUnderlying(socket: Socket): Socket {
		return this.underlying.get(socket) ?? socket
	}
}

function getAddress({ remoteAddress = '', remotePort = 0 }: Socket): string {
	return `${remoteAddress} ${remotePort}`
}
