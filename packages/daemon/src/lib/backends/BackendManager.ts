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

/** Time between closings of idle connections, and the longest time that one stays idle. */
const IDLE_MILLISECONDS = 1000

interface Options {
	readonly timers: TimerService
	/** Connections that this daemon may hold to a backend server. */
	readonly getConnectionLimit: (server: BackendServer) => number
}

/**
 * Keeps the connections to backend servers and sends attempts over them. A connection carries one
 * request at a time; one that failed or missed a deadline is destroyed and never used again.
 *
 * @public
 */
export class BackendManager {
	private readonly targets = new Map<BackendServerId, BackendConnectionPool>()
	private readonly sweeps: Subscription

	constructor(private readonly options: Options) {
		this.sweeps = options.timers.every(IDLE_MILLISECONDS, () => {
			this.closeIdle()
		})
	}

	/** Connections to backend servers that are open or being opened. */
	get connectionCount(): number {
		return [...this.targets.values()].reduce((sum, target) => sum + target.size, 0)
	}

	/** Sends an attempt. */
	send(attempt: Attempt): RunningAttempt {
		const target = this.getTarget(attempt.server)
		const connection = target.acquire(this.options.getConnectionLimit(attempt.server))
		if (!connection) return unavailable
		const handler = new AttemptHandler({
			attempt,
			connection,
			timers: this.options.timers,
			onEnd: (outcome) => {
				giveBack(target, connection, outcome)
			},
		})
		const { method, path, headers } = attempt
		const body = Buffer.isBuffer(attempt.body)
			? attempt.body
			: Readable.from(sendThrough(attempt.body, connection))
		connection.dispatch({ method, path, headers, body }, handler)
		return handler
	}

	/** Closes the idle connections to backend servers that are not in `servers`. */
	retainServers(servers: ReadonlyMap<BackendServerId, BackendServer>): void {
		for (const [name, target] of this.targets) {
			if (servers.get(name)?.address === target.address) continue
			this.targets.delete(name)
			target.closeAllIdle()
		}
	}

	/** Destroys every connection. */
	close(): void {
		this.sweeps.cancel()
		for (const target of this.targets.values()) target.destroy()
		this.targets.clear()
	}

	private getTarget(server: BackendServer): BackendConnectionPool {
		const known = this.targets.get(server.name)
		if (known?.address === server.address) return known
		known?.closeAllIdle()
		const target = new BackendConnectionPool(server.address, this.options.timers)
		this.targets.set(server.name, target)
		return target
	}

	private closeIdle(): void {
		const instant = this.options.timers.now() - IDLE_MILLISECONDS
		for (const [name, target] of this.targets) {
			target.closeIdleBefore(instant)
			if (target.size === 0) this.targets.delete(name)
		}
	}
}

const unavailable: RunningAttempt = {
	outcome: Promise.resolve<AttemptOutcome>({ type: 'connection-unavailable' }),
	resume: () => undefined,
	cancel: () => undefined,
}

/** An answer may end before its request does; the rest of the body must not meet the next answer. */
async function* sendThrough(
	body: AsyncIterable<Buffer>,
	connection: BackendConnection
): AsyncGenerator<Buffer> {
	connection.isSendingBody = true
	yield* body
	connection.isSendingBody = false
}

function giveBack(
	target: BackendConnectionPool,
	connection: BackendConnection,
	outcome: AttemptOutcome
): void {
	if (outcome.type !== 'answered' && outcome.type !== 'refused') {
		connection.destroy()
		target.closeAllIdle()
	} else if (connection.isReusable) target.release(connection)
	else connection.destroy()
}
