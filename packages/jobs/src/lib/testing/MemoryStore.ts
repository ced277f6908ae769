import type { AppendResult } from '../ports/AppendResult.js'
import type { JoinResult } from '../ports/JoinResult.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { LogFence } from '../ports/LogFence.js'
import type { LogRecord } from '../ports/LogRecord.js'
import type { LogStream } from '../ports/LogStream.js'

interface Stream {
	readonly entries: LogEntry[]
	end: number
	first: number
	term: number
	/** Results of the current term's appends by sequence number. */
	appendResults: Map<number, AppendResult>
}

/**
 * In-memory metadata store that the instances of a test share: streams with fencing, and a group of
 * members with an owner.
 *
 * @internal
 */
export class MemoryStore {
	/** Streams that do not answer. */
	readonly unavailableStreams = new Set<LogStream>()
	private readonly streams = new Map<LogStream, Stream>()
	private readonly members = new Map<string, number>()
	private generation = 0
	private owner: string | undefined

	append(stream: LogStream, records: readonly LogRecord[], fence?: LogFence): AppendResult {
		const target = this.getOrCreateStream(stream)
		if (fence) {
			if (fence.term < target.term) return { kind: 'fenced', reason: `term ${target.term}` }
			if (fence.term > target.term) target.appendResults = new Map()
			target.term = fence.term
			const firstResult = target.appendResults.get(fence.sequence)
			if (records.length > 0 && firstResult) return firstResult
		}
		const offset = target.end
		for (const record of records) {
			target.entries.push({ ...record, offset: target.end })
			target.end += 1
		}
		const result: AppendResult = { kind: 'appended', offset, end: target.end }
		if (fence && records.length > 0) target.appendResults.set(fence.sequence, result)
		return result
	}

	/** Simulates a compaction: reads from earlier offsets expire, the newest records remain. */
	compact(stream: LogStream): void {
		const target = this.getOrCreateStream(stream)
		target.first = target.end
	}

	getEnd(stream: LogStream): number {
		return this.getOrCreateStream(stream).end
	}

	getFirst(stream: LogStream): number {
		return this.getOrCreateStream(stream).first
	}

	getEntries(stream: LogStream): readonly LogEntry[] {
		return this.getOrCreateStream(stream).entries
	}

	join(member: string, now: number, timeToLive: number): JoinResult {
		for (const [name, expiresAt] of this.members) if (expiresAt < now) this.leave(name)
		if (!this.members.has(member)) this.generation += 1
		this.members.set(member, now + timeToLive)
		this.owner ??= member
		return { kind: 'joined', generation: this.generation, owner: this.owner === member }
	}

	leave(member: string): void {
		if (!this.members.delete(member)) return
		this.generation += 1
		if (this.owner === member) this.owner = [...this.members.keys()][0]
	}

	/** Moves ownership to another member although the owner is alive. */
	rebalance(): void {
		const names = [...this.members.keys()]
		const index = names.indexOf(this.owner ?? '')
		this.generation += 1
		this.owner = names[(index + 1) % names.length]
	}

	private getOrCreateStream(name: LogStream): Stream {
		let stream = this.streams.get(name)
		if (!stream) {
			stream = { entries: [], end: 0, first: 0, term: -1, appendResults: new Map() }
			this.streams.set(name, stream)
		}
		return stream
	}
}
