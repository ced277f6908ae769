import type { BackendServer, Milliseconds } from '@mastichead/core'

/**
 * One attempt to have a request run at a backend server.
 *
 * @internal
 */
export interface Attempt {
	readonly server: BackendServer
	readonly method: string
	readonly path: string
	readonly headers: Readonly<Record<string, string>>
	readonly body: Buffer | AsyncIterable<Buffer>
	/** Id of the request; an answer that names another one is not passed on. */
	readonly requestId: string
	/** Longest time from now to the end of the answer. */
	readonly runTimeout: Milliseconds
	/** Longest pause within the body of the answer while the caller has room for it. */
	readonly bodyTimeout: Milliseconds
	/** Called with the head of an answer that is to be passed on. */
	readonly onHead: (status: number, headers: Readonly<Record<string, string | string[]>>) => void
	/** Called with each part of the body; false asks to pause until `resume`. */
	readonly onData: (chunk: Buffer) => boolean
}
