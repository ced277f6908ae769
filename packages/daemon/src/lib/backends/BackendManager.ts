import type { BackendServer, BackendServerId } from '@mastichead/core'
import { Pool } from 'undici'
import type { Attempt } from './Attempt.js'
import { AttemptHandler } from './AttemptHandler.js'
import type { RunningAttempt } from './RunningAttempt.js'

const CONNECT_TIMEOUT_MILLISECONDS = 1000
const KEEP_ALIVE_MILLISECONDS = 4000

interface Target {
	readonly address: string
	readonly connections: number
	readonly pool: Pool
}

/**
 * Keeps the connections to backend servers and sends attempts over them. A connection that failed
 * or missed a deadline is destroyed and not used again.
 *
 * @public
 */
export class BackendManager {
	private readonly targets = new Map<BackendServerId, Target>()

	/** @param getConnections - connections that this daemon may hold to a backend server */
	constructor(private readonly getConnections: (server: BackendServer) => number) {}

	/** Sends an attempt. */
	send(attempt: Attempt): RunningAttempt {
		const handler = new AttemptHandler(attempt)
		this.getPool(attempt.server).dispatch(
			{
				method: attempt.method,
				path: attempt.path,
				headers: attempt.headers,
				body: attempt.body ?? null,
				headersTimeout: Math.max(1, attempt.headTimeout),
				bodyTimeout: attempt.bodyTimeout,
			},
			handler
		)
		return handler
	}

	/** Closes the connections to backend servers that are not in `servers`. */
	retain(servers: ReadonlyMap<BackendServerId, BackendServer>): void {
		for (const [name, target] of this.targets) {
			if (servers.get(name)?.address === target.address) continue
			this.targets.delete(name)
			void target.pool.close()
		}
	}

	/** Closes every connection once its request ended. */
	async close(): Promise<void> {
		await Promise.all([...this.targets.values()].map((target) => target.pool.destroy()))
		this.targets.clear()
	}

	private getPool(server: BackendServer): Pool {
		const known = this.targets.get(server.name)
		const connections = this.getConnections(server)
		if (known?.address === server.address && known.connections === connections) return known.pool
		if (known) void known.pool.close()
		const pool = new Pool(`http://${server.address}`, {
			connections,
			pipelining: 1,
			connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
			keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
		})
		this.targets.set(server.name, { address: server.address, connections, pool })
		return pool
	}
}
