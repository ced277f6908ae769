import { RequestRecorder } from './RequestRecorder.js'

/** Name of the row that holds what evicted rows had recorded. */
const EVICTED_ROW = '_evicted'

/**
 * Recorders by name, at most `maximum` of them. When it is full, the row that was used least
 * recently is merged into the row `_evicted`, so that no count is lost.
 *
 * @internal
 */
export class RecorderTable {
	private readonly rows = new Map<string, RequestRecorder>()
	private evicted: RequestRecorder | undefined

	constructor(private readonly maximum: number) {}

	/** Bytes held by all recorders. */
	get bytes(): number {
		return [...this.entries()].reduce((sum, [, row]) => sum + row.bytes, 0)
	}

	/** Gets the recorder of a name and marks it as used. */
	getOrCreate(name: string): RequestRecorder {
		const row = this.rows.get(name) ?? this.create()
		this.rows.delete(name)
		this.rows.set(name, row)
		return row
	}

	*entries(): Generator<readonly [string, RequestRecorder]> {
		yield* this.rows
		if (this.evicted) yield [EVICTED_ROW, this.evicted]
	}

	private create(): RequestRecorder {
		if (this.rows.size >= this.maximum) this.evictOldest()
		return new RequestRecorder()
	}

	private evictOldest(): void {
		const oldest = this.rows.entries().next()
		if (oldest.done) return
		const [name, row] = oldest.value
		this.evicted ??= new RequestRecorder()
		this.evicted.merge(row)
		this.rows.delete(name)
	}
}
