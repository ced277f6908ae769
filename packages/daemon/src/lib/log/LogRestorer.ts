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
 * Restores the state from a log whose first records have expired. Collects records until it has the
 * newest complete snapshot and every record after it.
 *
 * @internal
 */
export class LogRestorer {
	private readonly collector = new SnapshotCollector()
	private records: LogRecord[] = []
	private newestState: FleetState | undefined
	private expectedOffset: number

	/** @param firstOffset - first offset still in the log */
	constructor(
		private readonly firstOffset: number,
		private readonly logger: Logger
	) {
		this.expectedOffset = firstOffset
	}

	/** Offset of the next record to read. */
	get nextOffset(): number {
		return this.expectedOffset
	}

	/** State of the newest complete snapshot found; `tail` applies on top of it. */
	get state(): FleetState | undefined {
		return this.newestState
	}

	/** Records after `state`. */
	get tail(): readonly LogRecord[] {
		return this.records
	}

	add(records: readonly LogRecord[]): void {
		for (const record of records) {
			if (record.offset !== this.expectedOffset) continue
			this.expectedOffset += 1
			this.records.push(record)
			const proposal = parseProposal(record.record, record.offset)
			if (proposal.kind === 'snapshot') this.addSnapshotPart(proposal)
		}
	}

	private addSnapshotPart(proposal: SnapshotProposal): void {
		const minimumOffset = Math.max(this.firstOffset - 1, this.newestState?.offset ?? -1)
		if (proposal.through < minimumOffset) return
		const snapshot = this.collector.addPart(proposal)
		if (!snapshot) return
		const decoding = decodeSnapshot(snapshot)
		if (decoding.type === 'damaged') {
			const { through } = snapshot
			this.logger.error('snapshot-damaged', { through, reason: decoding.reason })
			return
		}
		this.newestState = decoding.state
		this.records = this.records.filter(({ offset }) => offset > decoding.state.offset)
	}
}
