import type { Socket } from 'node:net'

/** Bytes that a peer has sent once it has made a call; the start of a connection alone has fewer. */
const CALL_BYTES = 1_024

/**
 * Keeps the number of connections to the peer port within a limit. At the limit the oldest one on which no
 * peer has made a call is closed, so that connections which only stay do not keep peers out.
 *
 * @internal
 */
export class PeerConnections {
	/** Connections on which no call has been seen, oldest first. */
	private readonly unused = new Set<Socket>()
	private readonly used = new Set<Socket>()

	/**
	 * @param limit - open connections
	 * @param onDisconnect - called with a connection that is closed for the limit, before it is
	 */
	constructor(
		private readonly limit: number,
		private readonly onDisconnect: (socket: Socket) => void
	) {}

	/** Adds a connection; closes another one, or this one, if there are too many. */
	add(socket: Socket): void {
		if (this.unused.size + this.used.size >= this.limit) {
			const closed = this.findUnused() ?? socket
			this.onDisconnect(closed)
			closed.destroy()
			this.remove(closed)
			if (closed === socket) return
		}
		this.unused.add(socket)
		socket.once('close', () => {
			this.remove(socket)
		})
	}

	private findUnused(): Socket | undefined {
		for (const socket of this.unused) {
			if (socket.bytesRead < CALL_BYTES) return socket
			this.unused.delete(socket)
			this.used.add(socket)
		}
		return undefined
	}

	private remove(socket: Socket): void {
		this.unused.delete(socket)
		this.used.delete(socket)
	}
}
