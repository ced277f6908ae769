import type { Socket } from 'node:net'
import { ConnectionParser } from './ConnectionParser.js'

/**
 * What is parsed before the event loop turns, in lines. The loop accepts one connection a turn, so long turns
 * keep new clients out.
 */
const COST_PER_TURN = 1_000

/**
 * Parses what all connections receive, within a limit for each turn of the event loop. What is left waits,
 * and the connections take turns with one piece each; so clients whose data is costly to parse do not keep
 * the loop from others. Beyond a limit of memory the connection that has cost most is given up.
 *
 * @internal
 */
export class ParsingQueue {
	private readonly parsers = new WeakMap<Socket, ConnectionParser>()
	/** Connections with something left to parse. */
	private readonly pending = new Set<ConnectionParser>()
	/** Those of them that can go on, in the order of their turns. */
	private readonly waiting = new Set<ConnectionParser>()
	/** Cost of what has been parsed since the event loop last turned. */
	private cost = 0
	private isScheduled = false
	/** Memory of what waited when it was determined last, and what has been received since, in bytes. */
	private held = 0
	private received = 0

	constructor(
		private readonly options: {
			/** Memory of what waits, in bytes. */
			readonly limit: number
			/** Called with each connection that must be closed. */
			readonly onOverload: (
				socket: Socket,
				reason: 'too much unparsed data' | 'unread answers'
			) => void
			/** Calls a function once the event loop has turned. */
			readonly schedule?: (turn: () => void) => void
		}
	) {}

	/** Adds a connection for which an HTTP server has just set up its parser. */
	add(socket: Socket): void {
		const parser = new ConnectionParser(socket, {
			onReceive: (bytes) => {
				this.received += bytes
				if (this.held + this.received > this.options.limit) this.enforceLimit()
			},
			onReady: (ready) => {
				this.start(ready)
			},
			onUnreadAnswers: () => {
				this.options.onOverload(socket, 'unread answers')
			},
		})
		this.parsers.set(socket, parser)
		socket.once('close', () => {
			this.remove(parser)
		})
	}

	/** Parses nothing more of a connection, and drops up to some bytes that still arrive. */
	drop(socket: Socket, bytes: number): void {
		const parser = this.parsers.get(socket)
		if (!parser) return
		parser.drop(bytes)
		this.remove(parser)
	}

	private start(parser: ConnectionParser): void {
		this.scheduleTurn()
		const mayParse = this.waiting.size === 0
		this.pending.add(parser)
		this.waiting.add(parser)
		while (mayParse && this.cost < COST_PER_TURN && this.waiting.has(parser)) this.parse(parser)
	}

	private parse(parser: ConnectionParser): void {
		this.cost += parser.parsePiece()
		if (parser.isReady) return
		this.waiting.delete(parser)
		if (parser.heldBytes === 0) this.pending.delete(parser)
	}

	private scheduleTurn(): void {
		if (this.isScheduled) return
		this.isScheduled = true
		const { schedule = setImmediate } = this.options
		schedule(() => {
			this.turn()
		})
	}

	private turn(): void {
		this.isScheduled = false
		this.cost = 0
		this.enforceLimit()
		while (this.cost < COST_PER_TURN) {
			const [parser] = this.waiting
			if (!parser) return
			// Others take their turns before it goes on.
			this.waiting.delete(parser)
			this.waiting.add(parser)
			this.parse(parser)
		}
		this.scheduleTurn()
	}

	private enforceLimit(): void {
		this.held = 0
		this.received = 0
		for (const parser of this.pending) this.held += parser.heldBytes
		while (this.held > this.options.limit && this.pending.size > 1) {
			const costliest = this.getCostliest()
			if (!costliest) return
			this.held -= costliest.heldBytes
			this.remove(costliest)
			this.options.onOverload(costliest.socket, 'too much unparsed data')
		}
	}

	/** Returns the connection of which most has been parsed in a row, or of which most waits. */
	private getCostliest(): ConnectionParser | undefined {
		let costliest: ConnectionParser | undefined
		for (const parser of this.pending) {
			const difference = parser.parsedCost - (costliest?.parsedCost ?? -1)
			if (difference > 0 || (difference === 0 && parser.heldBytes > (costliest?.heldBytes ?? 0)))
				costliest = parser
		}
		return costliest
	}

	private remove(parser: ConnectionParser): void {
		this.pending.delete(parser)
		this.waiting.delete(parser)
	}
}
