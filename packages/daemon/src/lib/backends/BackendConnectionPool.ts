import type { Milliseconds, TimerService } from '@mastichead/core'
import { BackendConnection } from './BackendConnection.js'

/**
 * Time for which an idle connection may be used again. Shorter than the usual keep-alive of
 * servers, so that a request does not meet a connection that the server is about to close.
 */
const MAXIMUM_IDLE_MILLISECONDS = 1000

/**
 * Connections to one backend server.
 *
 * @internal
 */
export class BackendConnectionPool {
	private readonly all = new Set<BackendConnection>()
	/** The one used last is at the end. */
	private idle: BackendConnection[] = []

	constructor(
		readonly address: string,
		private readonly timers: TimerService
	) {}

	/** Connections that are open or being opened. */
	get size(): number {
		return this.all.size
	}

	/**
	 * Takes an idle connection or makes one.
	 *
	 * @param maximum - connections at most
	 * @returns undefined when there are `maximum` and all are busy
	 */
	acquire(maximum: number): BackendConnection | undefined {
		this.closeIdleBefore(this.timers.now() - MAXIMUM_IDLE_MILLISECONDS)
		const known = this.idle.pop()
		if (known) return known
		if (this.all.size >= maximum) return undefined
		const connection = new BackendConnection(this.address, () => {
			this.forget(connection)
		})
		this.all.add(connection)
		return connection
	}

	/** Gives back a connection whose request ended well. */
	release(connection: BackendConnection): void {
		if (!this.all.has(connection)) return
		connection.idleSince = this.timers.now()
		this.idle.push(connection)
	}

	/** Closes connections that have been idle since `instant` or longer. */
	closeIdleBefore(instant: Milliseconds): void {
		for (const connection of [...this.idle]) {
			if (connection.idleSince > instant) return
			connection.destroy()
		}
	}

	/** Closes every idle connection: what befell one may have befallen its siblings. */
	closeAllIdle(): void {
		this.closeIdleBefore(Infinity)
	}

	/** Destroys every connection, busy ones included. */
	destroy(): void {
		for (const connection of [...this.all]) connection.destroy()
	}

	private forget(connection: BackendConnection): void {
		this.all.delete(connection)
		this.idle = this.idle.filter((other) => other !== connection)
	}
}
