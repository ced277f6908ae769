import { once } from 'node:events'
import type { Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'

/** Time after which a client stops to send what the other end does not take, in milliseconds. */
const SEND_TIMEOUT = 30_000

/**
 * Sends pieces one after the other, each once the connection has taken the one before. Ends early if the
 * connection is closed or takes nothing more.
 *
 * @public
 */
export async function sendAll(socket: Socket, pieces: readonly Buffer[]): Promise<void> {
	const closed = new Promise<boolean>((resolve) => {
		socket.once('close', () => {
			resolve(false)
		})
	})
	const stopped = delay(SEND_TIMEOUT, false)
	for (const piece of pieces) {
		if (socket.destroyed) return
		if (socket.write(piece)) continue
		const drained = once(socket, 'drain').then(
			() => true,
			() => false
		)
		if (!(await Promise.race([drained, closed, stopped]))) return
	}
}
