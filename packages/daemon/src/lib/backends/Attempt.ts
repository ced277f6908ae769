import type { BackendServer, Milliseconds } from '@mastichead/core'

/**
 * One attempt to run a request at a backend server.
 *
 * @internal
 */
export interface Attempt {
	readonly server: BackendServer
	readonly method: string
	readonly path: string
	readonly headers: Readonly<Record<string, string>>
	readonly body: Buffer | AsyncIterable<Buffer>
	/** Id of the request; a response that carries another id is rejected as malformed. */
	readonly requestId: string
	/** Maximum time from now to the end of the response. */
	readonly runTimeout: Milliseconds
	/** Maximum pause within the response body, not counting pauses that `onData` requested. */
	readonly bodyTimeout: Milliseconds
	/** Called with the head of a response to forward. */
	readonly onHead: (status: number, headers: Readonly<Record<string, string | string[]>>) => void
	/** Called with each chunk of the body; returning false pauses the response until `resume`. */
	readonly onData: (chunk: Buffer) => boolean
}
