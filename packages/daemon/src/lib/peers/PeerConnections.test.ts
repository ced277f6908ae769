import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { expect, test } from 'vitest'
import { PeerConnections } from './PeerConnections.js'

class FakeSocket extends EventEmitter {
	destroyed = false

	constructor(readonly bytesRead: number) {
		super()
	}

	destroy(): void {
		this.destroyed = true
		this.emit('close')
	}
}

test('the oldest connection without a call makes room, and none of those with calls', () => {
	const { open, closed } = createFixture()
	const [peer, silent, other] = [open(5_000), open(24), open(24)]
	const late = open(0)
	expect(closed).toEqual([silent])
	expect([peer, other, late].map(({ destroyed }) => destroyed)).toEqual([false, false, false])
})

test('a connection is refused while calls have been made on all others', () => {
	const { open, closed } = createFixture()
	const peers = [open(5_000), open(5_000), open(5_000)]
	const late = open(0)
	expect(closed).toEqual([late])
	peers[0]?.destroy()
	expect(open(0).destroyed).toBe(false)
})

function createFixture() {
	const closed: Socket[] = []
	const connections = new PeerConnections(3, (socket) => closed.push(socket))
	const open = (bytesRead: number): FakeSocket & Socket => {
		const socket = new FakeSocket(bytesRead) as unknown as FakeSocket & Socket
		connections.add(socket)
		return socket
	}
	return { open, closed }
}
