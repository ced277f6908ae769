import type { Socket } from 'node:net'
import type { ClientConnection } from './ClientConnection.js'
import type { ClientLimits } from './ClientLimits.js'
import type { Disconnection } from './Disconnection.js'

/**
 * Keeps the connections of clients and the requests on them within limits. At the limit the connections
 * that serve nobody are closed first: those that never sent a whole request, then idle ones, the longest
 * so first. Thus a crowd that holds connections open does not keep others out.
 *
 * @public
 */
export class ConnectionTable {
	private readonly connections = new Map<Socket, ClientConnection>()
	/** Connections without a whole request so far, oldest first. */
	private readonly fresh = new Set<ClientConnection>()
	/** Connections whose requests have all been answered, the longest idle first. */
	private readonly idle = new Set<ClientConnection>()
	/** Requests whose answers have not been sent whole, on open connections. */
	private calls = 0
	/** Requests that have begun since the event loop last turned. */
	private callsInTurn = 0
	/** Requests that are being served, also for connections that have been closed meanwhile. */
	private serving = 0

	constructor(
		private readonly options: {
			readonly limits: ClientLimits
			/** Called with each connection that is closed beyond a limit. */
			readonly onDisconnect: (disconnection: Disconnection) => void
		}
	) {}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.connections.size
	}

	/** Number of requests whose answers have not been sent whole. */
	get callCount(): number {
		return this.calls
	}

	/** Adds a connection; closes another one, or this one, if there are too many. */
	add(socket: Socket): void {
		const connection = { socket, calls: 0, servedCalls: 0 }
		if (this.connections.size >= this.options.limits.connections) {
			const [victim = connection] = this.fresh.size > 0 ? this.fresh : this.idle
			this.disconnect(victim, 'too many connections')
			if (victim === connection) return
		}
		this.connections.set(socket, connection)
		this.fresh.add(connection)
		socket.once('close', () => {
			this.remove(connection)
		})
	}

	/**
	 * Begins a request. Closes its connection if too many of its answers are outstanding; beyond the limit
	 * over all connections the one with most of them is closed. Requests ahead are also refused if very many
	 * begin before the event loop turns, since what they hold is not freed until then.
	 *
	 * @returns the connection, or undefined if the request must not be served
	 */
	beginCall(socket: Socket): ClientConnection | undefined {
		const connection = this.connections.get(socket)
		if (!connection) return undefined
		const { limits } = this.options
		this.countInTurn()
		const mayCallAhead = this.callsInTurn <= limits.calls
		if (connection.calls >= (mayCallAhead ? limits.callsPerConnection : 1)) {
			this.disconnect(connection, 'too many calls ahead')
			return undefined
		}
		connection.calls += 1
		this.calls += 1
		if (this.calls <= limits.calls) return connection
		const largest = this.getLargest()
		if (!largest || largest.calls === 1) return connection
		this.disconnect(largest, 'too many calls')
		return largest === connection ? undefined : connection
	}

	/** Whether a further request is beyond the limit over all connections. */
	get isFull(): boolean {
		const { limits } = this.options
		return this.calls > limits.calls || this.serving >= limits.calls
	}

	/** Notes that a request has been read whole and is being served. */
	startServing(connection: ClientConnection): void {
		connection.servedCalls += 1
		this.serving += 1
		this.fresh.delete(connection)
		this.idle.delete(connection)
	}

	/** Notes that a request which was being served has got its answer. */
	endServing(connection: ClientConnection): void {
		connection.servedCalls -= 1
		this.serving -= 1
		if (connection.servedCalls === 0 && this.connections.has(connection.socket))
			this.idle.add(connection)
	}

	/** Notes that the answer to a request has been sent whole. */
	endCall(connection: ClientConnection): void {
		if (!this.connections.has(connection.socket)) return
		connection.calls -= 1
		this.calls -= 1
	}

	/** Closes a connection beyond a limit. */
	close(socket: Socket, reason: Disconnection['reason']): void {
		const connection = this.connections.get(socket)
		if (connection) this.disconnect(connection, reason)
		else socket.destroy()
	}

	private countInTurn(): void {
		if (this.callsInTurn === 0)
			setImmediate(() => {
				this.callsInTurn = 0
			})
		this.callsInTurn += 1
	}

	private remove(connection: ClientConnection): void {
		if (!this.connections.delete(connection.socket)) return
		this.calls -= connection.calls
		this.fresh.delete(connection)
		this.idle.delete(connection)
	}

	private disconnect(connection: ClientConnection, reason: Disconnection['reason']): void {
		const { socket, calls, servedCalls } = connection
		const { size } = this.connections
		const client = socket.remoteAddress
		this.options.onDisconnect({ reason, client, calls, served: servedCalls, connections: size })
		this.remove(connection)
		socket.destroy()
	}

	private getLargest(): ClientConnection | undefined {
		let largest: ClientConnection | undefined
		for (const connection of this.connections.values())
			if (!largest || connection.calls > largest.calls) largest = connection
		return largest
	}
}
