import type { Socket } from 'node:net'
import { createReply } from './createReply.js'

/**
 * Answers a request with its own body.
 *
 * @internal
 */
export function echoBody(socket: Socket, request: string): void {
	socket.write(createReply(request.slice(request.indexOf('\r\n\r\n') + 4)))
}
