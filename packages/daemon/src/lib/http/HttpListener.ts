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

/** Time between looks at the TLS files. */
const TLS_RELOAD_INTERVAL_MILLISECONDS = 5_000
/** Time between looks for connections over their time limit. */
const CONNECTION_CHECK_INTERVAL_MILLISECONDS = 1_000
/** Time between closings of connections that became idle during a stop. */
const IDLE_CHECK_INTERVAL_MILLISECONDS = 50
/** Time that a stop leaves to answers under way. */
const STOP_BOUND_MILLISECONDS = 5_000

/**
 * One listening HTTP port with limits on headers, time and connections, and with TLS from files
 * that are reloaded when they change.
 *
 * @internal
 */
export class HttpListener {
	readonly server: PlainServer | TlsServer
	private readonly files: TlsFiles | undefined
	private readonly connections: ConnectionLimiter
	private reload: Subscription | undefined

	/**
	 * @param options.name - name of the listener in settings and logs, such as `callers`
	 * @param options.listener - address and TLS files
	 * @param options.onExcess - called with a connection that is over the limit of its caller;
	 * destroys it by default
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
		this.connections = new ConnectionLimiter(limits.connectionsPerCaller)
		this.files = listener.tls && new TlsFiles(listener.tls)
		this.server = this.createServer(handler)
		this.server.maxConnections = limits.connections
		this.server.on('connection', (socket: Socket) => {
			this.admit(socket)
		})
	}

	/** The port that is open; undefined while there is none. */
	get port(): number | undefined {
		const address = this.server.address()
		return typeof address === 'object' ? address?.port : undefined
	}

	/** Connections that are open. */
	get connectionCount(): number {
		return this.connections.count
	}

	/** Opens the port; rejects with the system's error when that fails. */
	async start(): Promise<void> {
		const { host, port } = this.options.listener
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, () => {
				this.server.off('error', reject)
				resolve()
			})
		})
		if (!this.files) return
		this.reload = this.options.timers.every(TLS_RELOAD_INTERVAL_MILLISECONDS, () => {
			this.reloadTls()
		})
	}

	/** Takes no new connection; those that are open stay, idle ones included. */
	stopAccepting(): void {
		if (this.server.listening) NetServer.prototype.close.call(this.server)
	}

	/**
	 * Takes no new connection and resolves once every answer under way was given, or after a bound;
	 * what is left then is cut.
	 */
	async stop(): Promise<void> {
		const { timers } = this.options
		this.reload?.cancel()
		if (!this.server.listening) return
		const sweep = timers.every(IDLE_CHECK_INTERVAL_MILLISECONDS, () => {
			this.server.closeIdleConnections()
		})
		const cut = timers.after(STOP_BOUND_MILLISECONDS, () => {
			this.server.closeAllConnections()
		})
		await new Promise<void>((resolve) => {
			this.server.close(() => {
				resolve()
			})
		})
		sweep.cancel()
		cut.cancel()
	}

	/** Takes no new connection and closes every one at once. */
	destroy(): void {
		this.reload?.cancel()
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
		if (!this.files) return createPlainServer(options, handler)
		const requestCert = this.files.requiresClientCertificate
		return createTlsServer(
			{ ...options, ...this.files.read(), requestCert, rejectUnauthorized: requestCert },
			handler
		)
	}

	private admit(socket: Socket): void {
		const caller = socket.remoteAddress ?? ''
		if (!this.connections.tryAdd(caller)) {
			this.options.logger.warn('connection-refused', { listener: this.options.name, caller })
			if (this.options.onConnectionLimit) this.options.onConnectionLimit(socket)
			else socket.destroy()
			return
		}
		socket.once('close', () => {
			this.connections.remove(caller)
		})
	}

	private reloadTls(): void {
		const { logger, name } = this.options
		if (!this.files || !('setSecureContext' in this.server)) return
		try {
			const changed = this.files.readIfChanged()
			if (!changed) return
			this.server.setSecureContext(changed)
			logger.info('tls-reloaded', { listener: name })
		} catch (error) {
			logger.error('tls-reload-failed', { listener: name, reason: error })
		}
	}
}
