import type { IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'

/** Bodies up to this many bytes are held, so that they can be sent again. */
const MAXIMUM_HELD_BYTES = 65_536

/**
 * The body of a caller's request: held when it is small, streamed when it is not.
 *
 * @internal
 */
export class RequestBody {
	private isStreamed = false

	private constructor(
		private readonly held: Buffer | undefined,
		private readonly stream: Readable | undefined
	) {}

	/**
	 * Reads a small body whole; a larger one, or one of unknown length, stays in the connection.
	 *
	 * @returns undefined when the caller broke off before its body was whole
	 */
	static async read(request: IncomingMessage): Promise<RequestBody | undefined> {
		const length = Number(request.headers['content-length'] ?? Number.NaN)
		const isEmpty = Number.isNaN(length) && request.headers['transfer-encoding'] === undefined
		if (isEmpty || length === 0) return new RequestBody(Buffer.alloc(0), undefined)
		if (!(length <= MAXIMUM_HELD_BYTES)) return new RequestBody(undefined, request)
		const chunks: Buffer[] = []
		try {
			for await (const chunk of request) chunks.push(chunk as Buffer)
		} catch {
			return undefined
		}
		return new RequestBody(Buffer.concat(chunks), undefined)
	}

	/** Whether the whole body can still be sent. */
	get isReplayable(): boolean {
		return this.held !== undefined || !this.isStreamed
	}

	/** The body for one attempt. */
	take(): Buffer | Readable | undefined {
		if (this.held) return this.held
		this.isStreamed = true
		return this.stream
	}
}
