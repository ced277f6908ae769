import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/**
 * A TCP relay on loopback that can freeze its open connections while new ones keep working.
 *
 * @internal
 */
export class FreezingRelay {
	private readonly server: Server
	private readonly sockets = new Set<Socket>()
	/** Number of connections accepted so far. */
	acceptedCount = 0

	constructor(targetPort: number) {
		this.server = createServer((socket) => {
			this.acceptedCount += 1
			const target = connect(targetPort, '127.0.0.1')
			for (const side of [socket, target]) {
				this.sockets.add(side)
				side.on('error', () => side.destroy())
				side.on('close', () => this.sockets.delete(side))
			}
			socket.pipe(target).pipe(socket)
		})
	}

	/** Starts listening and returns the port. */
	async start(): Promise<number> {
		await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
		return (this.server.address() as AddressInfo).port
	}

	/** Stops forwarding data on all open connections, without closing them. */
	freeze(): void {
		for (const socket of this.sockets) {
			socket.unpipe()
			socket.pause()
		}
	}

	async stop(): Promise<void> {
		for (const socket of this.sockets) socket.destroy()
		await new Promise((resolve) => this.server.close(resolve))
	}
}
