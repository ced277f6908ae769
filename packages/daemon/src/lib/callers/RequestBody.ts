import type { IncomingMessage } from 'node:http'
import type { BodyMemory } from '@mastichead/http'

/** Bodies up to this size are buffered whole, so that they can be sent again. */
const MAXIMUM_BUFFERED_BYTES = 65_536
/** Memory of a chunk that waits to be read, beside its content, in bytes. */
const CHUNK_OVERHEAD = 150

/**
 * The body of a caller's request. Reads the first 64 KiB ahead, so that a small body can be sent
 * again and a slow caller does not occupy a slot. Reads the rest only as fast as it is sent.
 *
 * @internal
 */
export class RequestBody {
	/**
	 * Why the body cannot be read completely; undefined if no failure occurred so far. `dropped`: the
	 * bodies of all callers exceed their memory.
	 */
	failure: 'too-large' | 'incomplete' | 'dropped' | undefined
	/** Releases the memory that the body counts for; may be called more than once. */
	release: () => void = () => undefined
	private iterator: AsyncIterator<Buffer> | undefined
	/** The start of the body, until it is handed out as a stream. */
	private start: Buffer = Buffer.alloc(0)
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
	static async readAhead(
		request: IncomingMessage,
		maximumBytes: number,
		memory: BodyMemory
	): Promise<RequestBody> {
		const body = new RequestBody(request, maximumBytes)
		await body.readStart(memory)
		return body
	}

	/** Whether the complete body can be sent again. */
	get isReplayable(): boolean {
		return this.failure === undefined && !this.isStreamed
	}

	/** Returns the body for one attempt: a buffer if it was read completely, otherwise a stream. */
	takePayload(): Buffer | AsyncIterable<Buffer> {
		if (this.isEnded && !this.isStreamed) return this.start
		this.isStreamed = true
		return this.stream()
	}

	/** Copies what arrives into one buffer, since a body may come in very many chunks. */
	private async readStart(memory: BodyMemory): Promise<void> {
		const { request } = this
		let chunks = 0
		let resolve: () => void = () => undefined
		const isRead = new Promise<void>((resolveRead) => (resolve = resolveRead))
		const stop = (): void => {
			request.off('data', append)
			request.pause()
			resolve()
		}
		const held = memory.begin(() => {
			this.failure = 'dropped'
			stop()
		})
		const append = (chunk: Buffer): void => {
			chunks += 1
			this.readBytes += chunk.length
			if (this.readBytes > this.maximumBytes) this.failure = 'too-large'
			else memory.append(held, chunk)
			if (this.failure || this.readBytes > MAXIMUM_BUFFERED_BYTES) stop()
		}
		this.release = () => {
			memory.release(held)
		}
		request.once('end', () => {
			this.isEnded = true
			resolve()
		})
		request.once('close', resolve)
		request.on('data', append)
		await isRead
		this.start = memory.complete(held)
		if (!this.isEnded)
			this.failure ??= this.reserveStream(chunks, (bytes) => memory.reserve(held, bytes))
		if (this.failure) this.release()
	}

	/** Reserves the memory of the chunks that wait in the request while it is streamed. */
	private reserveStream(
		chunks: number,
		reserve: (bytes: number) => boolean
	): 'dropped' | 'incomplete' | undefined {
		if (this.request.destroyed) return 'incomplete'
		const { readableHighWaterMark } = this.request
		const waitingChunks = Math.ceil((readableHighWaterMark * chunks) / this.readBytes)
		return reserve(readableHighWaterMark + waitingChunks * CHUNK_OVERHEAD) ? undefined : 'dropped'
	}

	private async *stream(): AsyncGenerator<Buffer> {
		const { start } = this
		this.start = Buffer.alloc(0)
		yield start
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
