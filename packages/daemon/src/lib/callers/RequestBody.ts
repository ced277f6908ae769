import type { IncomingMessage } from 'node:http'

/** Bodies up to this size are buffered whole, so that they can be sent again. */
const MAXIMUM_BUFFERED_BYTES = 65_536

/**
 * The body of a caller's request. Reads the first 64 KiB ahead, so that a small body can be sent
 * again and a slow caller does not occupy a slot. Reads the rest only as fast as it is sent.
 *
 * @internal
 */
export class RequestBody {
	/** Why the body cannot be read completely; undefined if no failure occurred so far. */
	failure: 'too-large' | 'incomplete' | undefined
	private iterator: AsyncIterator<Buffer> | undefined
	private bufferedChunks: Buffer[] = []
	private bufferedBytes = 0
	private readBytes = 0
	private isEnded = false
	/** Whether the body was handed out as a stream, so that it cannot be sent again. */
	private isStreamed = false
	private pendingRead: Promise<Buffer | undefined> | undefined

	private constructor(
		private readonly request: IncomingMessage,
		private readonly maximumBytes: number
	) {}

	/**
	 * Reads the start of a body into memory.
	 *
	 * @param maximumBytes - size above which a body fails as `too-large`
	 */
	static async readAhead(request: IncomingMessage, maximumBytes: number): Promise<RequestBody> {
		const body = new RequestBody(request, maximumBytes)
		const length = Number(request.headers['content-length'])
		if (length <= MAXIMUM_BUFFERED_BYTES) {
			await body.readSmall(request)
			return body
		}
		while (!body.isEnded && body.bufferedBytes <= MAXIMUM_BUFFERED_BYTES) {
			const chunk = await body.next()
			if (!chunk) break
			body.bufferedChunks.push(chunk)
			body.bufferedBytes += chunk.length
		}
		return body
	}

	/** Whether the complete body can be sent again. */
	get isReplayable(): boolean {
		return this.failure === undefined && !this.isStreamed
	}

	/** Returns the body for one attempt: a buffer if it was read completely, otherwise a stream. */
	takePayload(): Buffer | AsyncIterable<Buffer> {
		if (this.isEnded && !this.isStreamed) return Buffer.concat(this.bufferedChunks)
		this.isStreamed = true
		return this.stream()
	}

	/** Reads a body whose length is known to be small; events cost less than the iterator. */
	private async readSmall(request: IncomingMessage): Promise<void> {
		await new Promise<void>((resolve) => {
			request.on('data', (chunk: Buffer) => this.bufferedChunks.push(chunk))
			request.once('end', () => {
				this.isEnded = true
				resolve()
			})
			request.once('close', resolve)
		})
		if (!this.isEnded) this.failure = 'incomplete'
	}

	private async *stream(): AsyncGenerator<Buffer> {
		const { bufferedChunks } = this
		this.bufferedChunks = []
		yield* bufferedChunks
		for (let chunk = await this.next(); chunk; chunk = await this.next()) yield chunk
		if (this.failure) throw new Error(`the request body is ${this.failure}`)
	}

	private next(): Promise<Buffer | undefined> {
		this.pendingRead ??= this.readNext().finally(() => {
			this.pendingRead = undefined
		})
		return this.pendingRead
	}

	private async readNext(): Promise<Buffer | undefined> {
		if (this.isEnded || this.failure) return undefined
		try {
			this.iterator ??= this.request.iterator({ destroyOnReturn: false })
			const result = await this.iterator.next()
			if (result.done) {
				this.isEnded = true
				return undefined
			}
			this.readBytes += result.value.length
			if (this.readBytes <= this.maximumBytes) return result.value
			this.failure = 'too-large'
		} catch {
			this.failure = 'incomplete'
		}
		return undefined
	}
}
