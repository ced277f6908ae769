import {
	decodeSnapshot,
	parseProposal,
	SnapshotCollector,
	type FleetState,
	type SnapshotProposal,
} from '@mastichead/core'
import type { Logger } from 'winston'
import type { LogRecord } from './LogRecord.js'

/**
 * Reads a log whose first records have expired: gathers records until it has the newest complete
 * snapshot and everything that follows it.
 *
 * @internal
 */
export class LogRestorer {
	private readonly collector = new SnapshotCollector()
	private records: LogRecord[] = []
	private newest: FleetState | undefined
	private nextOffset: number

	/** @param first - first offset that the log keeps */
	constructor(
		private readonly first: number,
		private readonly logger: Logger
	) {
		this.nextOffset = first
	}

	/** Offset to read from next. */
	get next(): number {
		return this.nextOffset
	}

	/** The newest state met; fold `tail` on it. */
	get state(): FleetState | undefined {
		return this.newest
	}

	/** Records after `state`. */
	get tail(): readonly LogRecord[] {
		return this.records
	}

	take(records: readonly LogRecord[]): void {
		for (const record of records) {
			if (record.offset !== this.nextOffset) continue
			this.nextOffset += 1
			this.records.push(record)
			const proposal = parseProposal(record.record, record.offset)
			if (proposal.kind === 'snapshot') this.takePart(proposal)
		}
	}

	private takePart(proposal: SnapshotProposal): void {
		const oldest = Math.max(this.first - 1, this.newest?.offset ?? -1)
		if (proposal.through < oldest) return
		const snapshot = this.collector.addPart(proposal)
		if (!snapshot) return
		const decoding = decodeSnapshot(snapshot)
		if (decoding.type === 'damaged') {
			const { through } = snapshot
			this.logger.error('snapshot-damaged', { through, reason: decoding.reason })
			return
		}
		this.newest = decoding.state
		this.records = this.records.filter(({ offset }) => offset > decoding.state.offset)
	}
}
