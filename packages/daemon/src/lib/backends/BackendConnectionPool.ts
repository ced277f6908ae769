import type { Milliseconds, TimerService } from '@mastichead/core'
import { BackendConnection } from './BackendConnection.js'

/**
 * Time for which an idle connection may be reused. Shorter than the usual keep-alive timeout of
 * servers, so that a request does not race with the server closing the connection.
 */
const MAXIMUM_IDLE_MILLISECONDS = 1000

/**
 * Pools the connections to one backend server.
 *
 * @internal
 */
export class BackendConnectionPool {
	private readonly connections = new Set<BackendConnection>()
	/** Idle connections; the most recently used is last. */
	private idle: BackendConnection[] = []

	constructor(
		readonly address: string,
		private readonly timers: TimerService
	) {}

	/** Number of connections that are open or being opened. */
	get size(): number {
		return this.connections.size
	}

	/**
	 * Returns an idle connection or creates one.
	 *
	 * @param maximum - maximum number of connections
	 * @returns undefined if `maximum` connections exist and all are busy
	 */
	acquire(maximum: number): BackendConnection | undefined {
		this.closeIdleBefore(this.timers.now() - MAXIMUM_IDLE_MILLISECONDS)
		const reused = this.idle.pop()
		if (reused) return reused
		if (this.connections.size >= maximum) return undefined
		const connection = new BackendConnection(this.address, () => {
			this.remove(connection)
		})
		this.connections.add(connection)
		return connection
	}

	/** Makes a connection available again after its request succeeded. */
	release(connection: BackendConnection): void {
		if (!this.connections.has(connection)) return
		connection.idleSince = this.timers.now()
		this.idle.push(connection)
	}

	/** Closes the connections that have been idle since `instant` or earlier. */
	closeIdleBefore(instant: Milliseconds): void {
		for (const connection of [...this.idle]) {
			if (connection.idleSince > instant) return
			connection.destroy()
		}
	}

	/** Closes every idle connection; after a failure of one, the others may be broken as well. */
	closeAllIdle(): void {
		this.closeIdleBefore(Infinity)
	}

	/** Destroys every connection, including busy ones. */
	destroy(): void {
		for (const connection of [...this.connections]) connection.destroy()
	}

	private remove(connection: BackendConnection): void {
		this.connections.delete(connection)
		this.idle = this.idle.filter((other) => other !== connection)
	}
}
