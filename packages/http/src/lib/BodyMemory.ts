/** Memory that a chunk takes beside its content, in bytes. */
const CHUNK_OVERHEAD = 32
const INITIAL_CAPACITY = 1_024

/**
 * A body of which a part has been received.
 *
 * @public
 */
interface Body {
	/** The content so far is at its start. */
	buffer: Buffer
	length: number
	/** Memory that it counts for, in bytes. */
	cost: number
	readonly onDrop: () => void
}

/**
 * Holds the bodies that clients are sending, within a limit of memory. Beyond the limit the largest body is
 * dropped, so that ordinary ones, which are small, get through.
 *
 * @public
 */
export class BodyMemory {
	/** Memory of all bodies, in bytes, also of those that are complete and not released yet. */
	used = 0
	/** Bodies that are not complete. */
	private readonly open = new Set<Body>()

	/** @param limit - bytes; a body that is alone may exceed it */
	constructor(private readonly limit: number) {}

	/** @param onDrop - called if the body is dropped before it is complete */
	begin(onDrop: () => void): Body {
		const body = { buffer: Buffer.alloc(0), length: 0, cost: 0, onDrop }
		this.open.add(body)
		return body
	}

	/** Copies a chunk to the end of a body. */
	append(body: Body, chunk: Buffer): void {
		const length = body.length + chunk.length
		if (length > body.buffer.length) this.grow(body, length)
		chunk.copy(body.buffer, body.length)
		body.length = length
		this.charge(body, CHUNK_OVERHEAD)
		this.enforceLimit()
	}

	/** Returns the content of a body, which is not dropped any more. It stays charged until it is released. */
	complete(body: Body): Buffer {
		this.open.delete(body)
		const content = body.buffer.subarray(0, body.length)
		body.buffer = Buffer.alloc(0)
		return content
	}

	/**
	 * Charges a body that is complete, or read no further for now, for what it holds elsewhere.
	 *
	 * @returns false, without charging it, if the other bodies leave no room
	 */
	reserve(body: Body, bytes: number): boolean {
		if (this.used + bytes > this.limit && this.used > body.cost) return false
		this.charge(body, bytes)
		return true
	}

	/** Releases a body; has no effect if that was done before. */
	release(body: Body): void {
		this.open.delete(body)
		body.buffer = Buffer.alloc(0)
		this.charge(body, -body.cost)
	}

	private grow(body: Body, length: number): void {
		const capacity = Math.max(INITIAL_CAPACITY, length, body.buffer.length * 2)
		const buffer = Buffer.allocUnsafe(capacity)
		body.buffer.copy(buffer, 0, 0, body.length)
		this.charge(body, capacity - body.buffer.length)
		body.buffer = buffer
	}

	private charge(body: Body, amount: number): void {
		body.cost += amount
		this.used += amount
	}

	private enforceLimit(): void {
		while (this.used > this.limit && this.open.size > 1) {
			const largest = this.getLargest()
			if (!largest) return
			this.release(largest)
			largest.onDrop()
		}
	}

	private getLargest(): Body | undefined {
		let largest: Body | undefined
		for (const body of this.open) if (!largest || body.cost > largest.cost) largest = body
		return largest
	}
}
