import {
	createSnapshotProposals,
	encodeSnapshot,
	getRendezvousScore,
	hashState,
	SnapshotCollector,
	type InstanceId,
	type LogEntry,
	type Milliseconds,
	type Snapshot,
	type SnapshotMarkProposal,
	type SnapshotProposal,
	type Subscription,
	type TimerService,
} from '@mastichead/core'
import { randomUUID } from 'node:crypto'
import type { Logger } from 'winston'
import type { LogManager } from './LogManager.js'

const DEFAULT_INTERVAL_MILLISECONDS = 900_000
/** Number of entries after a snapshot that makes the next one due regardless of the interval. */
const MAXIMUM_TAIL_ENTRIES = 20_000
const CHECK_INTERVAL_MILLISECONDS = 1000
/** Delay of each member behind the one before it in the order of proposers. */
const RANK_DELAY_MILLISECONDS = 30_000
/** Maximum platform time for which a mark blocks further marks while its snapshot is appended. */
const MARK_TIMEOUT_MILLISECONDS = 60_000
const PART_TIMEOUT_MILLISECONDS = 120_000
const MAXIMUM_KNOWN_HASHES = 8

/**
 * Keeps a recent snapshot in the log. A member proposes a mark; the snapshot holds the state at the
 * offset of the mark, and that member appends it in parts. Every daemon hashes its state at the mark
 * and compares it with the hash of the snapshot.
 *
 * The order of proposers is given by rendezvous hashing and changes with each snapshot; if a member
 * does not act in time, the next one takes over. Concurrent snapshots do no harm.
 *
 * @public
 */
export class SnapshotManager {
	private readonly collector = new SnapshotCollector()
	/** Hash of the local state at the offset of each recent mark. */
	private readonly hashesByOffset = new Map<number, string>()
	private readonly ownMarkIds = new Set<string>()
	private readonly subscriptions: Subscription[] = []
	/** Offset of the last complete snapshot, or of the state at the start. */
	private lastSnapshotOffset: number
	/** Platform time of the last complete snapshot, or of the first folded entry if there is none. */
	private lastSnapshotAt: Milliseconds | undefined
	/** Platform time of the last mark whose snapshot is not complete yet. */
	private markedAt: Milliseconds | undefined

	/**
	 * @param instance - name that this daemon joins under
	 * @param interval - platform time between snapshots in milliseconds, 15 minutes by default; keep
	 *   it below a quarter of the log's retention
	 */
	constructor(
		private readonly timers: TimerService,
		private readonly log: LogManager,
		private readonly logger: Logger,
		private readonly instance: InstanceId,
		private readonly interval: Milliseconds = DEFAULT_INTERVAL_MILLISECONDS
	) {
		this.lastSnapshotOffset = log.state.offset
	}

	start(): void {
		this.subscriptions.push(
			this.log.onEntry((entry, decision) => {
				if (decision.type === 'accepted') this.handleEntry(entry)
			}),
			this.timers.every(CHECK_INTERVAL_MILLISECONDS, () => {
				this.proposeMarkIfDue()
			})
		)
	}

	stop(): void {
		for (const subscription of this.subscriptions) subscription.cancel()
	}

	private handleEntry({ offset, at, proposal }: LogEntry): void {
		this.lastSnapshotAt ??= at
		if (proposal.kind === 'snapshot-mark') this.handleMark(offset, at, proposal)
		if (proposal.kind === 'snapshot') this.handlePart(at, proposal)
	}

	private handleMark(offset: number, at: Milliseconds, { id }: SnapshotMarkProposal): void {
		if (this.hashesByOffset.has(offset)) return
		this.markedAt = at
		const snapshot = this.ownMarkIds.delete(id) ? encodeSnapshot(this.log.state) : undefined
		this.hashesByOffset.set(offset, snapshot?.hash ?? hashState(this.log.state))
		const [oldest] = this.hashesByOffset.keys()
		if (this.hashesByOffset.size > MAXIMUM_KNOWN_HASHES && oldest !== undefined)
			this.hashesByOffset.delete(oldest)
		if (snapshot) void this.appendSnapshot(snapshot, id)
	}

	private handlePart(at: Milliseconds, proposal: SnapshotProposal): void {
		const { through, hash } = proposal
		const snapshot = this.collector.addPart(proposal)
		if (!snapshot) return
		const ownHash = this.hashesByOffset.get(through)
		if (ownHash !== undefined && ownHash !== hash) {
			this.logger.error('snapshot-state-differs', { through, hash, own: ownHash })
			return
		}
		if (through <= this.lastSnapshotOffset) return
		this.lastSnapshotOffset = through
		this.lastSnapshotAt = at
		this.markedAt = undefined
		this.logger.info('snapshot-complete', { through, parts: snapshot.parts.length })
	}

	private proposeMarkIfDue(): void {
		const { at, offset } = this.log.state
		if (!this.log.isReady || this.lastSnapshotAt === undefined) return
		if (this.markedAt !== undefined && at < this.markedAt + MARK_TIMEOUT_MILLISECONDS) return
		const overdueMilliseconds =
			offset - this.lastSnapshotOffset > MAXIMUM_TAIL_ENTRIES
				? Infinity
				: at - this.lastSnapshotAt - this.interval
		if (overdueMilliseconds >= this.getRank() * RANK_DELAY_MILLISECONDS) void this.proposeMark()
	}

	/** Returns the position of this daemon in the order of proposers; last if it is not a member. */
	private getRank(): number {
		const { members } = this.log.state
		const hashKey = String(this.lastSnapshotOffset)
		const ownScore = members.has(this.instance) ? getRendezvousScore(this.instance, hashKey) : -1
		let rank = 0
		for (const name of members.keys()) {
			if (name !== this.instance && getRendezvousScore(name, hashKey) > ownScore) rank += 1
		}
		return rank
	}

	private async proposeMark(): Promise<void> {
		const id = randomUUID()
		this.markedAt = this.log.state.at
		this.ownMarkIds.add(id)
		const outcome = await this.log.propose({ kind: 'snapshot-mark', id, instance: this.instance })
		if (outcome.type === 'decided') return
		this.ownMarkIds.delete(id)
		this.logger.warn('snapshot-mark-failed', { reason: outcome.reason })
	}

	private async appendSnapshot(snapshot: Snapshot, id: string): Promise<void> {
		const proposals = createSnapshotProposals(snapshot, id)
		const outcomes = await Promise.all(
			proposals.map((proposal) => this.log.propose(proposal, PART_TIMEOUT_MILLISECONDS))
		)
		const undecided = outcomes.filter((outcome) => outcome.type === 'undecided').length
		if (undecided === 0) return
		this.logger.warn('snapshot-append-failed', { through: snapshot.through, undecided })
	}
}
