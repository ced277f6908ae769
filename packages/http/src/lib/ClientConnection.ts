import type { Socket } from 'node:net'

/**
 * A connection of a client.
 *
 * @public
 */
export interface ClientConnection {
	readonly socket: Socket
	/** Requests whose answers have not been sent whole. */
	calls: number
	/** Requests that have been read whole and are not answered yet. */
	servedCalls: number
}
