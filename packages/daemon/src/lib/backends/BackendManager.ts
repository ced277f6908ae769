import type {
	AttemptOutcome,
	BackendServer,
	BackendServerId,
	Subscription,
	TimerService,
} from '@mastichead/core'
import { Readable } from 'node:stream'
import type { Attempt } from './Attempt.js'
import { AttemptHandler } from './AttemptHandler.js'
import type { BackendConnection } from './BackendConnection.js'
import { BackendConnectionPool } from './BackendConnectionPool.js'
import type { RunningAttempt } from './RunningAttempt.js'

/** Maximum idle time of a connection, and interval between checks for idle connections. */
const IDLE_MILLISECONDS = 1000

interface Options {
	readonly timers: TimerService
	/** Returns the maximum number of connections from this daemon to a backend server. */
	readonly getConnectionLimit: (server: BackendServer) => number
}

/**
 * Manages the connections to backend servers and sends attempts over them. A connection carries one
 * request at a time and is destroyed when a request on it fails or misses its deadline.
 *
 * @public
 */
export class BackendManager {
	private readonly connectionPools = new Map<BackendServerId, BackendConnectionPool>()
	private readonly idleTimer: Subscription

	constructor(private readonly options: Options) {
		this.idleTimer = options.timers.every(IDLE_MILLISECONDS, () => {
			this.closeIdle()
		})
	}

	/** Number of connections to backend servers that are open or being opened. */
	get connectionCount(): number {
		return [...this.connectionPools.values()].reduce((sum, pool) => sum + pool.size, 0)
	}

	/** Sends an attempt. If no connection is available, its outcome is `connection-unavailable`. */
	send(attempt: Attempt): RunningAttempt {
		const pool = this.getConnectionPool(attempt.server)
		const connection = pool.acquire(this.options.getConnectionLimit(attempt.server))
		if (!connection) return unavailable
		const handler = new AttemptHandler({
			attempt,
			connection,
			timers: this.options.timers,
			onEnd: (outcome) => {
				releaseConnection(pool, connection, outcome)
			},
		})
		const { method, path, headers } = attempt
		const body = Buffer.isBuffer(attempt.body)
			? attempt.body
			: Readable.from(streamBody(attempt.body, connection))
		connection.dispatch({ method, path, headers, body }, handler)
		return handler
	}

	/** Closes the idle connections to backend servers that are not in `servers`. */
	retainServers(servers: ReadonlyMap<BackendServerId, BackendServer>): void {
		for (const [name, pool] of this.connectionPools) {
			if (servers.get(name)?.address === pool.address) continue
			this.connectionPools.delete(name)
			pool.closeAllIdle()
		}
	}

	/** Stops the idle check and destroys every connection. */
	close(): void {
		this.idleTimer.cancel()
		for (const pool of this.connectionPools.values()) pool.destroy()
		this.connectionPools.clear()
	}

	private getConnectionPool(server: BackendServer): BackendConnectionPool {
		const existing = this.connectionPools.get(server.name)
		if (existing?.address === server.address) return existing
		existing?.closeAllIdle()
		const pool = new BackendConnectionPool(server.address, this.options.timers)
		this.connectionPools.set(server.name, pool)
		return pool
	}

	private closeIdle(): void {
		const instant = this.options.timers.now() - IDLE_MILLISECONDS
		for (const [name, pool] of this.connectionPools) {
			pool.closeIdleBefore(instant)
			if (pool.size === 0) this.connectionPools.delete(name)
		}
	}
}

const unavailable: RunningAttempt = {
	outcome: Promise.resolve<AttemptOutcome>({ type: 'connection-unavailable' }),
	resume: () => undefined,
	cancel: () => undefined,
}

/**
 * Marks the connection as sending until the whole body is sent. A response may end before its
 * request does, and the rest of the body must not be sent into the next request.
 */
async function* streamBody(
	body: AsyncIterable<Buffer>,
	connection: BackendConnection
): AsyncGenerator<Buffer> {
	connection.isSendingBody = true
	yield* body
	connection.isSendingBody = false
}

function releaseConnection(
	pool: BackendConnectionPool,
	connection: BackendConnection,
	outcome: AttemptOutcome
): void {
	if (outcome.type !== 'answered' && outcome.type !== 'refused') {
		connection.destroy()
		pool.closeAllIdle()
	} else if (connection.isReusable) pool.release(connection)
	else connection.destroy()
}
