import type { TimerService } from '@mastichead/core'
import { EventLog } from './EventLog.js'

/** Interval at which pending lines are written to the stream, in milliseconds. */
const FLUSH_INTERVAL = 100
/** Once more characters than this are pending, further lines are dropped and counted. */
const MAXIMUM_PENDING_CHARACTERS = 1_000_000
/** Maximum size of one write. A pipe accepts this much atomically, so that lines stay whole. */
const MAXIMUM_CHUNK_CHARACTERS = 4_000
/** Maximum number of lines per event and flush interval; one line reports how many were omitted. */
const MAXIMUM_LINES_PER_EVENT = 200

/**
 * Writes JSON lines to a stream. The buffer is bounded: if the reader stops, lines are dropped,
 * counted and reported, and the process never blocks.
 *
 * @public
 */
export class StreamEventLog extends EventLog {
	private pendingLines: string[] = []
	private pendingCharacters = 0
	private droppedCount = 0
	/** Number of lines of each event since the last flush. */
	private readonly lineCounts = new Map<string, number>()

	constructor(
		timers: TimerService,
		private readonly stream: NodeJS.WritableStream & { readonly writableLength: number },
		private readonly commonFields: Readonly<Record<string, unknown>>,
		private readonly getWallTime: () => number
	) {
		super()
		timers.every(FLUSH_INTERVAL, () => {
			this.flush()
		})
	}

	override write(
		level: 'info' | 'warn' | 'error',
		event: string,
		fields: Readonly<Record<string, unknown>>
	): void {
		const lineCount = (this.lineCounts.get(event) ?? 0) + 1
		this.lineCounts.set(event, lineCount)
		if (lineCount > MAXIMUM_LINES_PER_EVENT) return
		this.enqueue(level, event, fields)
	}

	/** Writes all pending lines to the stream unless an earlier write is still buffered there. */
	flush(): void {
		for (const [event, lineCount] of this.lineCounts) {
			const omitted = lineCount - MAXIMUM_LINES_PER_EVENT
			if (omitted > 0) this.enqueue('warn', 'lines-omitted', { of: event, count: omitted })
		}
		this.lineCounts.clear()
		if (this.stream.writableLength > 0) return
		if (this.droppedCount > 0) {
			const count = this.droppedCount
			this.droppedCount = 0
			this.enqueue('warn', 'lines-dropped', { count })
		}
		if (this.pendingLines.length === 0) return
		for (const chunk of createChunks(this.pendingLines)) this.stream.write(chunk)
		this.pendingLines = []
		this.pendingCharacters = 0
	}

	private enqueue(level: string, event: string, fields: Readonly<Record<string, unknown>>): void {
		if (this.pendingCharacters > MAXIMUM_PENDING_CHARACTERS) {
			this.droppedCount += 1
			return
		}
		const time = this.getWallTime()
		const line = `${JSON.stringify({ time, level, event, ...this.commonFields, ...fields })}\n`
		this.pendingLines.push(line)
		this.pendingCharacters += line.length
	}
}

function createChunks(lines: readonly string[]): string[] {
	const chunks: string[] = []
	let chunk = ''
	for (const line of lines) {
		if (chunk !== '' && chunk.length + line.length > MAXIMUM_CHUNK_CHARACTERS) {
			chunks.push(chunk)
			chunk = ''
		}
		chunk += line
	}
	if (chunk !== '') chunks.push(chunk)
	return chunks
}
