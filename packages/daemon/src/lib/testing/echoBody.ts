import type { Socket } from 'node:net'
import { createHttpResponse } from './createHttpResponse.js'

/**
 * Responds to a request with its own body.
 *
 * @internal
 */
export function echoBody(socket: Socket, request: string): void {
	socket.write(createHttpResponse(request.slice(request.indexOf('\r\n\r\n') + 4)))
}
