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
/** Entries after a snapshot that make the next one due whatever the time. */
const MAXIMUM_TAIL_ENTRIES = 20_000
const CHECK_MILLISECONDS = 1000
/** How much longer each member waits than the one before it in the order of proposers. */
const RANK_DELAY_MILLISECONDS = 30_000
/** How long a mark holds other marks back while its parts are appended. */
const MARK_MILLISECONDS = 60_000
const PART_DEADLINE_MILLISECONDS = 120_000
const MAXIMUM_KNOWN_HASHES = 8

/**
 * Sees to it that the log always holds a recent snapshot, and compares the hash of each snapshot
 * with the own state. Members take turns by rendezvous hash; one that does not act in its time
 * is stood in for by the next. Two snapshots at once do no harm.
 *
 * @public
 */
export class SnapshotManager {
	private readonly collector = new SnapshotCollector()
	private readonly hashes = new Map<number, string>()
	private readonly ownMarks = new Set<string>()
	private readonly subscriptions: Subscription[] = []
	private lastThrough: number
	private lastAt: Milliseconds | undefined
	private markedAt: Milliseconds | undefined

	/**
	 * @param instance - name that this daemon joins under
	 * @param interval - platform time from one snapshot to the next, 15 minutes by default; keep it
	 *   below a quarter of the log's retention
	 */
	constructor(
		private readonly timers: TimerService,
		private readonly log: LogManager,
		private readonly logger: Logger,
		private readonly instance: InstanceId,
		private readonly interval: Milliseconds = DEFAULT_INTERVAL_MILLISECONDS
	) {
		this.lastThrough = log.state.offset
	}

	start(): void {
		this.subscriptions.push(
			this.log.onEntry((entry, decision) => {
				if (decision.type === 'accepted') this.take(entry)
			}),
			this.timers.every(CHECK_MILLISECONDS, () => {
				this.checkDue()
			})
		)
	}

	stop(): void {
		for (const subscription of this.subscriptions) subscription.cancel()
	}

	private take({ offset, at, proposal }: LogEntry): void {
		this.lastAt ??= at
		if (proposal.kind === 'snapshot-mark') this.takeMark(offset, at, proposal)
		if (proposal.kind === 'snapshot') this.takePart(at, proposal)
	}

	private takeMark(offset: number, at: Milliseconds, { id }: SnapshotMarkProposal): void {
		if (this.hashes.has(offset)) return
		this.markedAt = at
		const snapshot = this.ownMarks.delete(id) ? encodeSnapshot(this.log.state) : undefined
		this.hashes.set(offset, snapshot?.hash ?? hashState(this.log.state))
		const [oldest] = this.hashes.keys()
		if (this.hashes.size > MAXIMUM_KNOWN_HASHES && oldest !== undefined) this.hashes.delete(oldest)
		if (snapshot) void this.append(snapshot, id)
	}

	private takePart(at: Milliseconds, proposal: SnapshotProposal): void {
		const { through, hash } = proposal
		const snapshot = this.collector.addPart(proposal)
		if (!snapshot) return
		const own = this.hashes.get(through)
		if (own !== undefined && own !== hash) {
			this.logger.error('snapshot-state-differs', { through, hash, own })
			return
		}
		if (through <= this.lastThrough) return
		this.lastThrough = through
		this.lastAt = at
		this.markedAt = undefined
		this.logger.info('snapshot-complete', { through, parts: snapshot.parts.length })
	}

	private checkDue(): void {
		const { at, offset } = this.log.state
		if (!this.log.isReady || this.lastAt === undefined) return
		if (this.markedAt !== undefined && at < this.markedAt + MARK_MILLISECONDS) return
		const overdue =
			offset - this.lastThrough > MAXIMUM_TAIL_ENTRIES ? Infinity : at - this.lastAt - this.interval
		if (overdue >= this.getRank() * RANK_DELAY_MILLISECONDS) void this.mark()
	}

	/** Position of this daemon in the order of proposers; the last for one that is no member. */
	private getRank(): number {
		const { members } = this.log.state
		const turn = String(this.lastThrough)
		const own = members.has(this.instance) ? getRendezvousScore(this.instance, turn) : -1
		let rank = 0
		for (const name of members.keys()) {
			if (name !== this.instance && getRendezvousScore(name, turn) > own) rank += 1
		}
		return rank
	}

	private async mark(): Promise<void> {
		const id = randomUUID()
		this.markedAt = this.log.state.at
		this.ownMarks.add(id)
		const outcome = await this.log.propose({ kind: 'snapshot-mark', id, instance: this.instance })
		if (outcome.type === 'decided') return
		this.ownMarks.delete(id)
		this.logger.warn('snapshot-mark-failed', { reason: outcome.reason })
	}

	private async append(snapshot: Snapshot, id: string): Promise<void> {
		const proposals = createSnapshotProposals(snapshot, id)
		const outcomes = await Promise.all(
			proposals.map((proposal) => this.log.propose(proposal, PART_DEADLINE_MILLISECONDS))
		)
		const undecided = outcomes.filter((outcome) => outcome.type === 'undecided').length
		if (undecided === 0) return
		this.logger.warn('snapshot-append-failed', { through: snapshot.through, undecided })
	}
}
