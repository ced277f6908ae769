import type { Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { sendAll } from './sendAll.js'

/** Connections that a crowd opens before it lets others be accepted, and how long it lets them, in milliseconds. */
const CONNECTIONS_AT_ONCE = 50
const ACCEPTING_TIME = 5
/** Connections that a client which presses opens one after the other, and the pause between them, in milliseconds. */
const ROUNDS = 400
const RECONNECT_TIME = 50

/**
 * Clients of one port that send what they like, whether they are answered or not, until they leave.
 *
 * @public
 */
export class Crowd {
	private readonly sockets: Socket[] = []
	private hasLeft = false

	/** @param connect - opens a connection to the port */
	constructor(private readonly connect: () => Socket) {}

	/**
	 * Lets clients send and read no answers. Resolves once each has sent all, was cut off, or is not read any more.
	 *
	 * @param options.getPieces - what a client sends, by its number
	 * @param options.leaves - whether a client closes its connection once it has sent all; none by default
	 */
	async send(options: {
		readonly clients: number
		readonly getPieces: (client: number) => readonly Buffer[]
		readonly leaves?: (client: number) => boolean
	}): Promise<void> {
		const { clients, getPieces, leaves = () => false } = options
		const sent: Promise<void>[] = []
		for (let client = 0; client < clients; client += 1) {
			const socket = this.open()
			socket.pause()
			const finish = async (): Promise<void> => {
				await sendAll(socket, getPieces(client))
				if (leaves(client)) socket.destroy()
			}
			sent.push(finish())
			if (client % CONNECTIONS_AT_ONCE === 0) await delay(ACCEPTING_TIME)
		}
		await Promise.all(sent)
	}

	/**
	 * Lets clients send again and again until the crowd leaves, and read, each over a new connection. A client whose
	 * connections are closed often enough gives up.
	 *
	 * @param options.getPieces - what a client sends over one connection, by its number
	 */
	press(options: {
		readonly clients: number
		readonly getPieces: (client: number) => readonly Buffer[]
	}): void {
		const { clients, getPieces } = options
		for (let client = 0; client < clients; client += 1) void this.pressOn(getPieces(client))
	}

	/** Closes all connections. */
	leave(): void {
		this.hasLeft = true
		for (const socket of this.sockets.splice(0)) socket.destroy()
	}

	private async pressOn(pieces: readonly Buffer[]): Promise<void> {
		for (let round = 0; round < ROUNDS && !this.hasLeft; round += 1) {
			const socket = this.open()
			socket.resume()
			await sendAll(socket, pieces)
			socket.destroy()
			await delay(RECONNECT_TIME)
		}
	}

	private open(): Socket {
		const socket = this.connect()
		// The other end may close the connection of a client that goes beyond its limits.
		socket.on('error', () => undefined)
		this.sockets.push(socket)
		return socket
	}
}
