import {
	createServer as createPlainServer,
	type IncomingMessage,
	type Server as PlainServer,
	type ServerOptions,
	type ServerResponse,
} from 'node:http'
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https'
import { Server as NetServer, type Socket } from 'node:net'
import type { Subscription, TimerService } from '@mastichead/core'
import { ConnectionManager, hasBody, type ClientLimits, type Disconnection } from '@mastichead/http'
import type { Logger } from 'winston'
import type { ListenerSettings } from '../settings/ListenerSettings.js'
import type { Settings } from '../settings/Settings.js'
import { ConnectionLimiter } from './ConnectionLimiter.js'
import { getListenerLimits } from './getListenerLimits.js'
import { TlsFiles } from './TlsFiles.js'

/** Interval between checks of the TLS files for changes. */
const TLS_RELOAD_INTERVAL_MILLISECONDS = 5_000
/** Interval between checks for connections that exceeded a timeout. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 1_000
/** Interval at which a stop closes connections that became idle. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 50
/** Time that a stop waits for pending responses. */
const STOP_TIMEOUT_MILLISECONDS = 5_000

type RequestHandler = (
	request: IncomingMessage,
	response: ServerResponse,
	startServing: () => void
) => void

/**
 * Listens on an HTTP port, with timeouts and with limits on what clients hold and cost. Serves TLS
 * from files that are reloaded when they change.
 *
 * @internal
 */
export class HttpListener {
	readonly server: PlainServer | TlsServer
	private readonly tlsFiles: TlsFiles | undefined
	private readonly connectionLimiter: ConnectionLimiter
	/** What the clients of this listener may hold. */
	readonly limits: ClientLimits
	private readonly connections: ConnectionManager
	private reloadTimer: Subscription | undefined

	/**
	 * @param options.name - name of the listener in settings and logs, such as `callers`
	 * @param options.listener - address and TLS files
	 * @param options.handler - calls `startServing` once it has read as much of a request's body as it needs to
	 *   go on; a connection of which nothing is being served may be closed for others
	 * @param options.onConnectionLimit - called with a connection that exceeds the limit of its
	 *   caller; by default the connection is destroyed
	 */
	constructor(
		private readonly options: {
			readonly name: string
			readonly listener: ListenerSettings
			readonly limits: Settings['limits']
			readonly timers: TimerService
			readonly logger: Logger
			readonly handler: RequestHandler
			readonly onConnectionLimit?: (socket: Socket) => void
		}
	) {
		const { listener, limits } = options
		this.connectionLimiter = new ConnectionLimiter(limits.connectionsPerCaller)
		this.tlsFiles = listener.tls && new TlsFiles(listener.tls)
		this.server = this.createServer()
		this.limits = getListenerLimits(limits)
		this.connections = new ConnectionManager({
			server: this.server,
			limits: this.limits,
			admits: (socket) => this.admit(socket),
			onDisconnect: (disconnection) => {
				this.reportDisconnection(disconnection)
			},
		})
	}

	/** The listening port; undefined while closed. */
	get port(): number | undefined {
		const address = this.server.address()
		return typeof address === 'object' ? address?.port : undefined
	}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.connectionLimiter.count
	}

	/** Opens the port; rejects with the system error if that fails. */
	async start(): Promise<void> {
		const { host, port } = this.options.listener
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, () => {
				this.server.off('error', reject)
				this.server.on('error', (error) => {
					const { logger, name } = this.options
					logger.error('connections-failed', { listener: name, reason: error.message })
				})
				resolve()
			})
		})
		if (!this.tlsFiles) return
		this.reloadTimer = this.options.timers.every(TLS_RELOAD_INTERVAL_MILLISECONDS, () => {
			this.reloadTls()
		})
	}

	/** Stops accepting connections; open ones stay open, including idle ones. */
	stopAccepting(): void {
		if (this.server.listening) NetServer.prototype.close.call(this.server)
	}

	/**
	 * Stops accepting connections and resolves once all pending responses have ended. After a timeout,
	 * closes the remaining connections.
	 */
	async stop(): Promise<void> {
		const { timers } = this.options
		this.reloadTimer?.cancel()
		if (!this.server.listening) return
		const idleTimer = timers.every(IDLE_CHECK_INTERVAL_MILLISECONDS, () => {
			this.server.closeIdleConnections()
		})
		const stopTimer = timers.after(STOP_TIMEOUT_MILLISECONDS, () => {
			this.server.closeAllConnections()
		})
		await new Promise<void>((resolve) => {
			this.server.close(() => {
				resolve()
			})
		})
		idleTimer.cancel()
		stopTimer.cancel()
	}

	/** Stops accepting connections and closes every open one immediately. */
	destroy(): void {
		this.reloadTimer?.cancel()
		this.server.close()
		this.server.closeAllConnections()
	}

	/** Whether a further request is beyond the limit over all connections. */
	get isFull(): boolean {
		return this.connections.isFull
	}

	private createServer(): PlainServer | TlsServer {
		const { limits } = this.options
		const handler = (request: IncomingMessage, response: ServerResponse): void => {
			this.handle(request, response)
		}
		const options: ServerOptions = {
			maxHeaderSize: limits.headerBytes,
			headersTimeout: limits.headersTimeoutMilliseconds,
			requestTimeout: limits.requestTimeoutMilliseconds,
			keepAliveTimeout: limits.idleTimeoutMilliseconds,
			connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLISECONDS,
		}
		if (!this.tlsFiles) return createPlainServer(options, handler)
		const requestCert = this.tlsFiles.requiresClientCertificate
		return createTlsServer(
			{ ...options, ...this.tlsFiles.read(), requestCert, rejectUnauthorized: requestCert },
			handler
		)
	}

	private handle(request: IncomingMessage, response: ServerResponse): void {
		const connection = this.connections.begin(request, response)
		if (!connection) return
		let isServing = false
		const startServing = (): void => {
			if (isServing) return
			isServing = true
			this.connections.serveUntilAnswered(connection, response)
		}
		if (!hasBody(request)) startServing()
		this.options.handler(request, response, startServing)
	}

	/** Whether a new connection may stay. */
	private admit(socket: Socket): boolean {
		const caller = socket.remoteAddress ?? ''
		if (!this.connectionLimiter.tryAdd(caller)) {
			this.options.logger.warn('connection-refused', { listener: this.options.name, caller })
			if (this.options.onConnectionLimit) this.options.onConnectionLimit(socket)
			else socket.destroy()
			return false
		}
		socket.once('close', () => {
			this.connectionLimiter.remove(caller)
		})
		return true
	}

	private reportDisconnection(disconnection: Disconnection): void {
		this.options.logger.warn('client-disconnected', {
			listener: this.options.name,
			...disconnection,
		})
	}

	private reloadTls(): void {
		const { logger, name } = this.options
		if (!this.tlsFiles || !('setSecureContext' in this.server)) return
		try {
			const changed = this.tlsFiles.readIfChanged()
			if (!changed) return
			this.server.setSecureContext(changed)
			logger.info('tls-reloaded', { listener: name })
		} catch (error) {
			logger.error('tls-reload-failed', { listener: name, reason: error })
		}
	}
}
