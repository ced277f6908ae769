import {
	Fold,
	parseProposal,
	type Decision,
	type FleetState,
	type LogEntry,
	type Subscription,
} from '@mastichead/core'
import type { Logger } from 'winston'
import type { LogRecord } from './LogRecord.js'
import { RecentRecords } from './RecentRecords.js'

type EntryListener = (entry: LogEntry, decision: Decision) => void

/**
 * This daemon's replica of the log: the folded state and the most recent records. Accepts records
 * and states from the platform and from peers in any order; the state never goes back.
 *
 * @internal
 */
export class LogReplica {
	private fold = new Fold()
	private readonly recentRecords = new RecentRecords()
	private readonly entryListeners = new Set<EntryListener>()
	private readonly changeListeners = new Set<() => void>()

	constructor(private readonly logger: Logger) {}

	get state(): FleetState {
		return this.fold.state
	}

	/**
	 * Applies the records that follow the state. Skips records already applied and stops at a gap.
	 */
	apply(records: readonly LogRecord[]): void {
		const before = this.state.offset
		for (const record of records) {
			if (record.offset <= this.state.offset) continue
			if (record.offset > this.state.offset + 1) break
			this.applyNext(record)
		}
		if (this.state.offset !== before) this.notifyChange()
	}

	/**
	 * Replaces the state by a newer one.
	 *
	 * @returns false, and changes nothing, if `state` is not newer
	 */
	restore(state: FleetState): boolean {
		if (state.offset <= this.state.offset) return false
		this.fold = new Fold(state)
		this.recentRecords.clear()
		this.notifyChange()
		return true
	}

	/** @returns recent records starting at `from`, or undefined if they are no longer kept */
	read(from: number): readonly LogRecord[] | undefined {
		return from === this.state.offset + 1 ? [] : this.recentRecords.read(from)
	}

	onEntry(listener: EntryListener): Subscription {
		this.entryListeners.add(listener)
		return { cancel: () => this.entryListeners.delete(listener) }
	}

	onChange(listener: () => void): Subscription {
		this.changeListeners.add(listener)
		return { cancel: () => this.changeListeners.delete(listener) }
	}

	private applyNext(record: LogRecord): void {
		const { offset, at } = record
		const entry = { offset, at, proposal: parseProposal(record.record, offset) }
		const decision = this.fold.apply(entry)
		this.recentRecords.push(record)
		if (!decision) return
		for (const listener of [...this.entryListeners]) {
			this.callListener(() => {
				listener(entry, decision)
			})
		}
	}

	private notifyChange(): void {
		for (const listener of [...this.changeListeners]) this.callListener(listener)
	}

	/**
	 * Logs exceptions of a listener. Every daemon folds the same entry, so an uncaught exception
	 * would stop them all.
	 */
	private callListener(listener: () => void): void {
		try {
			listener()
		} catch (error) {
			const reason = error instanceof Error ? error.stack : String(error)
			this.logger.error('log-listener-failed', { offset: this.state.offset, reason })
		}
	}
}
