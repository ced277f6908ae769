import type { BackendServer, Milliseconds } from '@mastichead/core'
import type { Readable } from 'node:stream'

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
	readonly body: Buffer | Readable | undefined
	/** Time until the head of the answer must have come. */
	readonly headTimeout: Milliseconds
	/** Longest pause within the body of the answer. */
	readonly bodyTimeout: Milliseconds
	/** Called with the head of an answer that is to be passed on. */
	readonly onHead: (status: number, headers: Readonly<Record<string, string | string[]>>) => void
	/** Called with each part of the body; false asks to pause until `resume`. */
	readonly onData: (chunk: Buffer) => boolean
}
