import type { IncomingMessage } from 'node:http'

/** Bodies up to this many bytes are held, so that they can be sent again. */
const MAXIMUM_HELD_BYTES = 65_536

/**
 * The body of a caller's request. Its first 64 KiB are read ahead, so that a small body can be sent
 * again and a slow caller takes no slot; the rest is read only as fast as it is sent.
 *
 * @internal
 */
export class RequestBody {
	/** Why the body will never be whole; absent while it may be. */
	failure: 'too-large' | 'incomplete' | undefined
	private chunks: AsyncIterator<Buffer> | undefined
	private held: Buffer[] = []
	private heldBytes = 0
	private readBytes = 0
	private isEnded = false
	private isTaken = false
	private pending: Promise<Buffer | undefined> | undefined

	private constructor(
		private readonly request: IncomingMessage,
		private readonly maximumBytes: number
	) {}

	/**
	 * Reads ahead.
	 *
	 * @param maximumBytes - a longer body fails as `too-large`
	 */
	static async readAhead(request: IncomingMessage, maximumBytes: number): Promise<RequestBody> {
		const body = new RequestBody(request, maximumBytes)
		const length = Number(request.headers['content-length'])
		if (length <= MAXIMUM_HELD_BYTES) {
			await body.readSmall(request)
			return body
		}
		while (!body.isEnded && body.heldBytes <= MAXIMUM_HELD_BYTES) {
			const chunk = await body.next()
			if (!chunk) break
			body.held.push(chunk)
			body.heldBytes += chunk.length
		}
		return body
	}

	/** Whether the whole body can still be sent. */
	get isReplayable(): boolean {
		return this.failure === undefined && !this.isTaken
	}

	/** The body for one attempt. */
	takePayload(): Buffer | AsyncIterable<Buffer> {
		if (this.isEnded && !this.isTaken) return Buffer.concat(this.held)
		this.isTaken = true
		return this.stream()
	}

	/** Reads a body of known small length; cheaper than its iterator. */
	private async readSmall(request: IncomingMessage): Promise<void> {
		await new Promise<void>((resolve) => {
			request.on('data', (chunk: Buffer) => this.held.push(chunk))
			request.once('end', () => {
				this.isEnded = true
				resolve()
			})
			request.once('close', resolve)
		})
		if (!this.isEnded) this.failure = 'incomplete'
	}

	private async *stream(): AsyncGenerator<Buffer> {
		const { held } = this
		this.held = []
		yield* held
		for (let chunk = await this.next(); chunk; chunk = await this.next()) yield chunk
		if (this.failure) throw new Error(`the body of the caller is ${this.failure}`)
	}

	private next(): Promise<Buffer | undefined> {
		this.pending ??= this.readNext().finally(() => {
			this.pending = undefined
		})
		return this.pending
	}

	private async readNext(): Promise<Buffer | undefined> {
		if (this.isEnded || this.failure) return undefined
		try {
			this.chunks ??= this.request.iterator({ destroyOnReturn: false })
			const result = await this.chunks.next()
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
