import type { JobId } from '@mastichead/core'
import type { ReplicaRow } from '../log/ReplicaRow.js'
import type { EventLog } from '../logs/EventLog.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { IntakeEntry } from './IntakeEntry.js'
import { IntakeRecords } from './IntakeRecords.js'
import { resolveIntake } from './resolveIntake.js'

/**
 * Keeps what callers wrote about each id in the rows of a replica, and resolves it to the one job that has
 * the id. While a stream is being loaded its records come in no order, so that the ids of those are resolved
 * at the end of the load.
 *
 * @internal
 */
export class IntakeTable {
	private readonly unresolved = new Map<IntakeStream, Set<JobId>>()

	constructor(
		private readonly rows: {
			readonly get: (id: JobId) => ReplicaRow | undefined
			readonly getOrCreate: (id: JobId) => ReplicaRow
			readonly delete: (id: JobId) => void
		},
		private readonly events: EventLog,
		/** Called when a job was submitted or cancelled. */
		private readonly onChange: (row: ReplicaRow) => void
	) {}

	/**
	 * Applies a record of a stream.
	 *
	 * @param isLoaded - whether the stream has been loaded, so that its records come in order
	 */
	apply(entry: LogEntry, stream: IntakeStream, isLoaded: boolean): ReplicaRow | undefined {
		if (entry.value === undefined) return this.remove(entry, stream, isLoaded)
		const parsed = this.parse(entry, stream)
		if (!parsed) return undefined
		const row = this.rows.getOrCreate(parsed.id)
		row.entries = [
			...row.entries.filter((other) => !isSameRecord(other, entry.key, stream)),
			parsed,
		]
		if (isLoaded) {
			resolve(row)
			this.onChange(row)
		} else this.getUnresolved(stream).add(row.id)
		return row
	}

	/** Resolves the ids of a stream whose load has ended. */
	handleLoaded(stream: IntakeStream): void {
		const ids = this.getUnresolved(stream)
		this.unresolved.delete(stream)
		for (const id of ids) {
			const row = this.rows.get(id)
			if (!row) continue
			resolve(row)
			this.onChange(row)
		}
	}

	private remove(
		{ key }: LogEntry,
		stream: IntakeStream,
		isLoaded: boolean
	): ReplicaRow | undefined {
		const id = IntakeRecords.parseKey(key)?.id
		const row = id === undefined ? undefined : this.rows.get(id)
		if (!row) return undefined
		const removed = row.entries.find((other) => isSameRecord(other, key, stream))
		row.entries = row.entries.filter((other) => other !== removed)
		const isUnused = removed?.kind === 'submission' || !row.snapshot
		if (row.entries.length === 0 && isUnused) this.rows.delete(row.id)
		else if (isLoaded) resolve(row)
		else this.getUnresolved(stream).add(row.id)
		return row
	}

	private getUnresolved(stream: IntakeStream): Set<JobId> {
		let ids = this.unresolved.get(stream)
		if (!ids) {
			ids = new Set()
			this.unresolved.set(stream, ids)
		}
		return ids
	}

	private parse(entry: LogEntry, stream: IntakeStream): IntakeEntry | undefined {
		const { key, offset } = entry
		const parsedKey = IntakeRecords.parseKey(key)
		if (!parsedKey) {
			this.events.warn('log-record-unknown', { key, offset })
			return undefined
		}
		try {
			return IntakeRecords.parse(parsedKey, entry, stream)
		} catch (error) {
			this.events.error('log-record-unreadable', { key, offset, error: String(error) })
			return undefined
		}
	}
}

function isSameRecord(entry: IntakeEntry, key: string, stream: IntakeStream): boolean {
	return entry.key === key && entry.stream === stream
}

function resolve(row: ReplicaRow): void {
	const { job, cancelled, barriers } = resolveIntake(row.entries)
	row.job = job
	row.cancelled = cancelled
	row.barriers = barriers
}
