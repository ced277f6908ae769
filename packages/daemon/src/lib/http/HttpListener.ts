import {
	createServer as createPlainServer,
	type RequestListener,
	type Server as PlainServer,
	type ServerOptions,
} from 'node:http'
import { createServer as createTlsServer, type Server as TlsServer } from 'node:https'
import { Server as NetServer, type Socket } from 'node:net'
import type { Subscription, TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import type { ListenerSettings } from '../settings/ListenerSettings.js'
import type { Settings } from '../settings/Settings.js'
import { ConnectionLimiter } from './ConnectionLimiter.js'
import { TlsFiles } from './TlsFiles.js'

/** Interval between checks of the TLS files for changes. */
const TLS_RELOAD_INTERVAL_MILLISECONDS = 5_000
/** Interval between checks for connections that exceeded a timeout. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 1_000
/** Interval at which a stop closes connections that became idle. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 50
/** Time that a stop waits for pending responses. */
const STOP_TIMEOUT_MILLISECONDS = 5_000

/**
 * Listens on an HTTP port, with timeouts and with limits on headers and connections. Serves TLS
 * from files that are reloaded when they change.
 *
 * @internal
 */
export class HttpListener {
	readonly server: PlainServer | TlsServer
	private readonly tlsFiles: TlsFiles | undefined
	private readonly connectionLimiter: ConnectionLimiter
	private reloadTimer: Subscription | undefined

	/**
	 * @param options.name - name of the listener in settings and logs, such as `callers`
	 * @param options.listener - address and TLS files
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
			readonly handler: RequestListener
			readonly onConnectionLimit?: (socket: Socket) => void
		}
	) {
		const { listener, limits, handler } = options
		this.connectionLimiter = new ConnectionLimiter(limits.connectionsPerCaller)
		this.tlsFiles = listener.tls && new TlsFiles(listener.tls)
		this.server = this.createServer(handler)
		this.server.maxConnections = limits.connections
		this.server.on('connection', (socket: Socket) => {
			this.admit(socket)
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

	private createServer(handler: RequestListener): PlainServer | TlsServer {
		const { limits } = this.options
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

	private admit(socket: Socket): void {
		const caller = socket.remoteAddress ?? ''
		if (!this.connectionLimiter.tryAdd(caller)) {
			this.options.logger.warn('connection-refused', { listener: this.options.name, caller })
			if (this.options.onConnectionLimit) this.options.onConnectionLimit(socket)
			else socket.destroy()
			return
		}
		socket.once('close', () => {
			this.connectionLimiter.remove(caller)
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
