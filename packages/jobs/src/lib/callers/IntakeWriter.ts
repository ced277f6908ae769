import type { JobId, TimerService } from '@mastichead/core'
import { getHomeStream } from '../intake/getHomeStream.js'
import type { IntakeRecord } from '../intake/IntakeRecord.js'
import type { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { LogReachability } from './LogReachability.js'
import { StreamWriter } from './StreamWriter.js'
import type { WriteResult } from './WriteResult.js'

/**
 * Writes the records of callers, each to the home stream of its id, where all instances see the records
 * about an id in one order.
 *
 * @public
 */
export class IntakeWriter {
	private readonly writers: ReadonlyMap<IntakeStream, StreamWriter>
	private copies = 0

	/**
	 * @param member - name of this process, unique among all that ever run
	 */
	constructor(
		log: MetadataLog,
		timers: TimerService,
		events: EventLog,
		followers: ReadonlyMap<IntakeStream, StreamFollower>,
		private readonly member: string
	) {
		const reachability = new LogReachability()
		const createWriter = (follower: StreamFollower, stream: IntakeStream): StreamWriter =>
			new StreamWriter(stream, {
				log,
				timers,
				events,
				follower,
				reachability,
				createCopyName: () => this.createCopyName(),
			})
		this.writers = new Map(
			[...followers].map(([stream, follower]) => [stream, createWriter(follower, stream)])
		)
	}

	/**
	 * Appends a record, batched with others. Concurrent calls for records of one identity share one write.
	 * While the stream is out of reach, one batch at a time tries it, and all other records are refused at once.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	write(record: IntakeRecord, deadline: number): Promise<WriteResult> {
		return this.getWriter(record.id).write(record, deadline)
	}

	/**
	 * Deletes records of an id.
	 *
	 * @param deadline - monotonic instant by which the caller needs an answer
	 */
	remove(id: JobId, keys: readonly string[], deadline: number): Promise<WriteResult> {
		return this.getWriter(id).remove(keys, deadline)
	}

	private getWriter(id: JobId): StreamWriter {
		const stream = getHomeStream(id)
		const writer = this.writers.get(stream)
		if (!writer) throw new Error(`no writer for stream ${stream}`)
		return writer
	}

	private createCopyName(): string {
		this.copies += 1
		return `${this.member}.${this.copies.toString(36)}`
	}
}
