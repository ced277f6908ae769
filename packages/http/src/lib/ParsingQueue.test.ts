import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { expect, it } from 'vitest'
import { ParsingQueue } from './ParsingQueue.js'

const CHUNK = '1\r\n \r\n'
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

/** A connection whose parser notes what it is given. */
class FakeSocket extends EventEmitter {
	parsed = ''
	destroyed = false
	readableLength = 0
	writableNeedDrain = false
	private paused = false
	/** Called before a piece is noted, as the HTTP server is. */
	onPiece: () => void = () => undefined

	constructor() {
		super()
		this.on('data', (piece: Buffer) => {
			this.parsed += piece.toString()
			this.onPiece()
		})
	}

	isPaused(): boolean {
		return this.paused
	}

	pause(): void {
		this.paused = true
	}

	resume(): void {
		this.paused = false
		this.emit('resume')
	}

	receive(text: string): void {
		this.emit('data', Buffer.from(text))
	}
}

it('parses an ordinary request within the turns in which each client had one', () => {
	const clients = 100
	const { open, turn } = createFixture(Infinity)
	for (let client = 0; client < clients; client += 1) open().receive(CHUNK.repeat(10_000))
	const ordinary = open()
	ordinary.receive(REQUEST)
	let turns = 0
	while (ordinary.parsed === '' && turns < clients) {
		turn()
		turns += 1
	}
	expect(ordinary.parsed).toBe(REQUEST)
	expect(turns).toBeLessThan(clients / 2)
})

it('parses an ordinary request at once in calm', () => {
	const { open } = createFixture(Infinity)
	const socket = open()
	socket.receive(REQUEST)
	expect(socket.parsed).toBe(REQUEST)
})

it('keeps the order of what is received while a connection waits, and reads no further', () => {
	const { open, turn } = createFixture(Infinity)
	const socket = open()
	const sent = CHUNK.repeat(10_000)
	socket.receive(sent)
	socket.receive('a')
	expect(socket.isPaused()).toBe(true)
	for (let turns = 0; turns < 100; turns += 1) turn()
	expect(socket.parsed).toBe(`${sent}a`)
	expect(socket.isPaused()).toBe(false)
})

it('parses nothing while the HTTP server reads no further', () => {
	const { open, turn } = createFixture(Infinity)
	const socket = open()
	socket.onPiece = () => {
		socket.pause()
	}
	socket.receive(REQUEST.repeat(2))
	for (let turns = 0; turns < 10; turns += 1) turn()
	expect(socket.parsed).toBe(REQUEST)
	socket.resume()
	expect(socket.parsed).toBe(REQUEST.repeat(2))
})

it('gives up a client that sends requests and does not read the answers', () => {
	const { open, closed } = createFixture(Infinity)
	const socket = open()
	socket.writableNeedDrain = true
	socket.onPiece = () => {
		socket.pause()
	}
	socket.receive(REQUEST.repeat(2))
	expect(closed).toEqual([[socket, 'unread answers']])
})

it('gives up the client that has cost most beyond the limit of memory, never the only one', () => {
	const { open, turn, closed } = createFixture(70_000)
	const costly = open()
	costly.receive(CHUNK.repeat(20_000))
	for (let turns = 0; turns < 3; turns += 1) turn()
	expect(closed).toEqual([])
	const other = open()
	other.receive(CHUNK.repeat(1_000))
	turn()
	expect(closed).toEqual([[costly, 'too much unparsed data']])
	for (let turns = 0; turns < 10; turns += 1) turn()
	expect(other.parsed).toBe(CHUNK.repeat(1_000))
})

it('drops what arrives after the end of interest, and reads no further beyond a limit', () => {
	const { open, queue } = createFixture(Infinity)
	const socket = open()
	socket.receive(REQUEST)
	queue.drop(socket, 100)
	socket.receive(' '.repeat(100))
	expect(socket.isPaused()).toBe(false)
	socket.receive(' ')
	expect(socket.isPaused()).toBe(true)
	expect(socket.parsed).toBe(REQUEST)
})

function createFixture(limit: number) {
	const turns: (() => void)[] = []
	const closed: [Socket, string][] = []
	const queue = new ParsingQueue({
		limit,
		schedule: (turn) => turns.push(turn),
		onOverload: (socket, reason) => {
			closed.push([socket, reason])
		},
	})
	const open = (): FakeSocket & Socket => {
		const socket = new FakeSocket() as unknown as FakeSocket & Socket
		queue.add(socket)
		return socket
	}
	const turn = (): void => {
		turns.shift()?.()
	}
	return { queue, open, turn, closed }
}
