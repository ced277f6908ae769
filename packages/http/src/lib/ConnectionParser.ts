import type { Socket } from 'node:net'
import { getPiece } from './getPiece.js'

const NOTHING = Buffer.alloc(0)

/**
 * Gives the HTTP parser of a connection what is received, in pieces that begin at most one request each. The
 * parser makes objects for all requests and chunks in what it is given, and a closed connection keeps them
 * until the event loop turns; so it is not given what follows once the connection is closed.
 *
 * @internal
 */
export class ConnectionParser {
	/** Cost of what has been parsed since nothing was left the last time. */
	parsedCost = 0
	private readonly parse: (piece: Buffer) => void
	/** What has been received and not been parsed. */
	private rest: Buffer = NOTHING
	/** Whether the parser waits until the HTTP server reads on. */
	private isBlocked = false
	/** Whether reading is paused because too much is left to parse. */
	private isHeld = false
	/** Bytes that may still arrive and be dropped; undefined while they are parsed. */
	private droppable: number | undefined

	/**
	 * @param socket - a connection for which an HTTP server has just set up its parser
	 * @param options.onReceive - called with the bytes that have been received and are to be parsed
	 * @param options.onReady - called when something can be parsed after nothing could
	 * @param options.onUnreadAnswers - called if the client sends requests and does not read the answers
	 */
	constructor(
		readonly socket: Socket,
		private readonly options: {
			readonly onReceive: (bytes: number) => void
			readonly onReady: (parser: ConnectionParser) => void
			readonly onUnreadAnswers: (parser: ConnectionParser) => void
		}
	) {
		const [parse] = socket.listeners('data') as ((piece: Buffer) => void)[]
		if (!parse) throw new Error('connection without a parser')
		this.parse = parse.bind(socket)
		socket.removeListener('data', parse)
		socket.on('data', (data: Buffer) => {
			this.receive(data)
		})
		socket.on('resume', () => {
			this.unblock()
		})
	}

	/** Memory of what has been received and not been parsed, in bytes. */
	get heldBytes(): number {
		if (this.rest.length === 0) return 0
		return this.rest.buffer.byteLength + this.socket.readableLength
	}

	/** Whether something is left that can be parsed now. */
	get isReady(): boolean {
		return this.rest.length > 0 && !this.isBlocked
	}

	/**
	 * Parses the next piece.
	 *
	 * @returns what it cost, in lines
	 */
	parsePiece(): number {
		const { socket } = this
		const cost = socket.destroyed ? 0 : this.parseNext()
		if (socket.destroyed) this.rest = NOTHING
		else if (socket.isPaused()) this.block()
		else if (this.isHeld && this.rest.length > 0) socket.pause()
		this.parsedCost += cost
		if (this.rest.length > 0) return cost
		this.isHeld = false
		this.parsedCost = 0
		return cost
	}

	/**
	 * Parses nothing more. What still arrives is dropped up to some bytes, and not read beyond them.
	 *
	 * @param bytes - enough for a client that ends soon, which loses the answer if bytes stay unread
	 */
	drop(bytes: number): void {
		this.droppable = bytes - this.rest.length
		this.rest = NOTHING
		this.isBlocked = false
		if (this.isHeld) this.socket.resume()
		this.isHeld = false
	}

	private receive(data: Buffer): void {
		if (this.droppable !== undefined) {
			this.droppable -= data.length
			if (this.droppable < 0) this.socket.pause()
			return
		}
		const isFirst = this.rest.length === 0
		this.rest = isFirst ? data : Buffer.concat([this.rest, data])
		this.options.onReceive(data.length)
		if (isFirst) this.options.onReady(this)
		// What is not read stays with the client.
		if (this.isReady) this.hold()
	}

	private hold(): void {
		this.isHeld = true
		this.socket.pause()
	}

	private parseNext(): number {
		// Only on a connection that flows does it show that the HTTP server pauses it.
		if (this.isHeld) this.socket.resume()
		const { bytes, cost } = getPiece(this.rest)
		const piece = this.rest.subarray(0, bytes)
		this.rest = this.rest.subarray(bytes)
		this.parse(piece)
		return cost
	}

	private block(): void {
		this.isHeld = false
		if (this.rest.length === 0) return
		this.isBlocked = true
		if (this.socket.writableNeedDrain) this.options.onUnreadAnswers(this)
	}

	private unblock(): void {
		if (!this.isBlocked || this.socket.isPaused()) return
		this.isBlocked = false
		this.options.onReady(this)
	}
}
