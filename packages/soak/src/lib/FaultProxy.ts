import { createConnection, createServer, type Server, type Socket } from 'node:net'
import type { LinkFault } from './LinkFault.js'

const DELAY_MILLISECONDS = 300
const MILLISECONDS_PER_SECOND = 1_000
const REFUSAL = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'

/** One direction of a connection. */
interface Direction {
	readonly from: Socket
	readonly to: Socket
	readonly lossFault: 'requests-lost' | 'answers-lost'
	/** Whether bytes were lost, so that nothing that follows may be passed on. */
	broken: boolean
	/** Milliseconds since 1970 at which the latest byte is passed on. */
	freeAt: number
}

/**
 * TCP proxy on loopback whose link can be narrowed and disturbed.
 *
 * @public
 */
export class FaultProxy {
	private fault: LinkFault = 'none'
	private readonly sockets = new Set<Socket>()
	private readonly server: Server
	/** Milliseconds since 1970 at which the link has passed on all answers. */
	private linkFreeAt = 0

	/**
	 * @param upstream - the server behind the link
	 * @param bytesPerSecond - capacity for answers, shared by all connections; unlimited by default
	 */
	constructor(
		private readonly upstream: { readonly host: string; readonly port: number },
		private readonly bytesPerSecond = Infinity
	) {
		this.server = createServer((caller) => {
			this.connect(caller)
		})
	}

	listen(host: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, resolve)
		})
	}

	/** Sets the fault of the link from now on. */
	setFault(fault: LinkFault): void {
		this.fault = fault
		if (fault === 'reset') for (const socket of [...this.sockets]) socket.resetAndDestroy()
	}

	close(): Promise<void> {
		for (const socket of [...this.sockets]) socket.destroy()
		return new Promise((resolve) => {
			this.server.close(() => {
				resolve()
			})
		})
	}

	private connect(caller: Socket): void {
		if (this.fault === 'reset') {
			caller.resetAndDestroy()
			return
		}
		const upstream = createConnection(this.upstream)
		for (const socket of [caller, upstream]) {
			const other = socket === caller ? upstream : caller
			this.sockets.add(socket)
			socket.setNoDelay(true)
			// The other end sees the same: a closed connection.
			socket.on('error', () => other.destroy())
			socket.on('close', () => {
				this.sockets.delete(socket)
				other.destroy()
			})
		}
		this.pass({ from: caller, to: upstream, lossFault: 'requests-lost', broken: false, freeAt: 0 })
		this.pass({ from: upstream, to: caller, lossFault: 'answers-lost', broken: false, freeAt: 0 })
	}

	private pass(direction: Direction): void {
		direction.from.on('data', (chunk: Buffer) => {
			if (this.fault === 'silent' || this.fault === direction.lossFault) direction.broken = true
			if (direction.broken) return
			if (this.fault === 'refused') {
				refuse(direction)
				return
			}
			const wait = this.getWait(direction, chunk.length)
			if (wait <= 0) direction.to.write(chunk)
			else setTimeout(() => direction.to.write(chunk), wait)
		})
	}

	/** Returns the milliseconds until a chunk is passed on; later chunks wait at least as long. */
	private getWait(direction: Direction, bytes: number): number {
		const now = Date.now()
		let passAt = Math.max(now, direction.freeAt)
		if (this.fault === 'delayed') passAt = Math.max(passAt, now + DELAY_MILLISECONDS)
		if (direction.lossFault === 'answers-lost' && this.bytesPerSecond < Infinity) {
			const transferTime = (bytes / this.bytesPerSecond) * MILLISECONDS_PER_SECOND
			this.linkFreeAt = Math.max(this.linkFreeAt, now) + transferTime
			passAt = Math.max(passAt, this.linkFreeAt)
		}
		direction.freeAt = passAt
		return passAt - now
	}
}

/** Refuses a request that arrives, and drops an answer that was on its way. */
function refuse(direction: Direction): void {
	direction.broken = true
	if (direction.lossFault === 'requests-lost') direction.from.end(REFUSAL)
}
