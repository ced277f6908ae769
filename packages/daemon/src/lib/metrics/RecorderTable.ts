import { RequestRecorder } from './RequestRecorder.js'

/** Name of the row that accumulates the values of evicted rows. */
const EVICTED_ROW = '_evicted'

/**
 * A table of at most `maximum` recorders by name. When it is full, the least recently used recorder
 * is merged into the row `_evicted`, so that no count is lost.
 *
 * @internal
 */
export class RecorderTable {
	private readonly recorders = new Map<string, RequestRecorder>()
	private evicted: RequestRecorder | undefined

	constructor(private readonly maximum: number) {}

	/** Memory used by all recorders, in bytes. */
	get bytes(): number {
		return [...this.entries()].reduce((sum, [, recorder]) => sum + recorder.bytes, 0)
	}

	/** Returns the recorder of a name, and marks it as the most recently used. */
	getOrCreate(name: string): RequestRecorder {
		const recorder = this.recorders.get(name) ?? this.createRecorder()
		this.recorders.delete(name)
		this.recorders.set(name, recorder)
		return recorder
	}

	/** Yields all recorders with their names, including `_evicted` if there is one. */
	*entries(): Generator<readonly [string, RequestRecorder]> {
		yield* this.recorders
		if (this.evicted) yield [EVICTED_ROW, this.evicted]
	}

	private createRecorder(): RequestRecorder {
		if (this.recorders.size >= this.maximum) this.evictLeastRecentlyUsed()
		return new RequestRecorder()
	}

	private evictLeastRecentlyUsed(): void {
		const oldest = this.recorders.entries().next()
		if (oldest.done) return
		const [name, recorder] = oldest.value
		this.evicted ??= new RequestRecorder()
		this.evicted.merge(recorder)
		this.recorders.delete(name)
	}
}
