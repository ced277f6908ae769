import {
	encodeSnapshot,
	type Decision,
	type FleetState,
	type LogEntry,
	type Milliseconds,
	type Proposal,
	type Snapshot,
	type Subscription,
	type TimerService,
} from '@mastichead/core'
import type { Logger } from 'winston'
import { LogAppender } from './LogAppender.js'
import type { LogClient } from './LogClient.js'
import { LogFollower } from './LogFollower.js'
import { LogReplica } from './LogReplica.js'
import { PeerCatchUp } from './PeerCatchUp.js'
import type { PeerLog } from './PeerLog.js'
import type { PeerLogPage } from './PeerLogPage.js'
import type { ProposalOutcome } from './ProposalOutcome.js'
import { ProposalTracker } from './ProposalTracker.js'

const DEFAULT_PROPOSE_TIMEOUT_MILLISECONDS = 10_000

/**
 * Follows and folds the platform's log, and appends proposals to it. While the log is unreachable,
 * catches up from peers. The state never goes back.
 *
 * @example
 * ```ts
 * const client = new HttpLogClient(timers, ['http://10.0.0.1:7000'], 'entry-1')
 * const log = new LogManager(timers, client, logger)
 * log.start()
 * const outcome = await log.propose({ kind: 'heartbeat', id, instance })
 * ```
 * @public
 */
export class LogManager {
	private readonly replica: LogReplica
	private readonly follower: LogFollower
	private readonly appender: LogAppender
	private readonly proposals: ProposalTracker
	private readonly catchUp: PeerCatchUp
	private followerRun: Promise<void> | undefined
	private getPeerLogs: () => readonly PeerLog[] = () => []
	private hasCaughtUpWithPeer = false
	private lastSnapshot: Snapshot | undefined

	constructor(
		timers: TimerService,
		private readonly client: LogClient,
		private readonly logger: Logger
	) {
		this.replica = new LogReplica(logger)
		this.follower = new LogFollower(timers, client, this.replica, logger)
		this.appender = new LogAppender(timers, client, logger)
		this.proposals = new ProposalTracker(timers, this.replica, this.appender)
		this.catchUp = new PeerCatchUp(
			timers,
			this.replica,
			logger,
			() => this.getPeerLogs(),
			() => {
				this.hasCaughtUpWithPeer = true
			}
		)
	}

	/** The folded state. Do not keep a reference: restoring a snapshot replaces the object. */
	get state(): FleetState {
		return this.replica.state
	}

	/**
	 * Whether the state is recent enough to serve requests: since the start it has reached the end of
	 * the log or the offset of a peer.
	 */
	get isReady(): boolean {
		return this.follower.isCaughtUp || this.hasCaughtUpWithPeer
	}

	/**
	 * Offset reported to peers; -1 while not ready, since a peer that reaches a reported offset
	 * counts itself as ready.
	 */
	get sharedOffset(): number {
		return this.isReady ? this.state.offset : -1
	}

	/**
	 * Monotonic instant before the last answered read was sent; undefined before the first answer.
	 * The records in the log at that instant are folded, except those after a full page, which the
	 * next reads fetch.
	 */
	get platformContactAt(): Milliseconds | undefined {
		return this.follower.platformContactAt
	}

	/**
	 * Sets the source of peer logs.
	 *
	 * @param getPeerLogs - returns the logs of the peers known now; called at every check
	 */
	setPeerLogs(getPeerLogs: () => readonly PeerLog[]): void {
		this.getPeerLogs = getPeerLogs
	}

	start(): void {
		this.catchUp.start()
		this.followerRun = this.follower.run()
	}

	/** Stops following and appending. Pending proposals end as undecided. */
	async stop(): Promise<void> {
		this.follower.stop()
		this.catchUp.stop()
		this.appender.stop()
		this.proposals.stop()
		await this.client.close()
		await this.followerRun
		this.logger.info('log-stopped', { offset: this.state.offset })
	}

	/**
	 * Appends a proposal and waits until it is folded here. If the outcome of an append is unknown,
	 * the proposal is sent again under the same id.
	 *
	 * @param timeout - how long to wait, in milliseconds; 10 s by default
	 */
	propose(
		proposal: Proposal,
		timeout: Milliseconds = DEFAULT_PROPOSE_TIMEOUT_MILLISECONDS
	): Promise<ProposalOutcome> {
		return this.proposals.propose(proposal, timeout)
	}

	/** Calls `listener` after entries are folded or the state is replaced. */
	onChange(listener: () => void): Subscription {
		return this.replica.onChange(listener)
	}

	/**
	 * Calls `listener` after each folded entry. Entries covered by a restored snapshot are not
	 * reported.
	 */
	onEntry(listener: (entry: LogEntry, decision: Decision) => void): Subscription {
		return this.replica.onEntry(listener)
	}

	/** Returns the log starting at an offset, for a peer. */
	readLog(from: number): PeerLogPage {
		const records = this.replica.read(from)
		if (records) return { type: 'records', records }
		if (from > this.state.offset) return { type: 'records', records: [] }
		return { type: 'snapshot', snapshot: this.getSnapshot() }
	}

	/** Reuses the last snapshot while the records after it are still kept. */
	private getSnapshot(): Snapshot {
		const cached = this.lastSnapshot
		if (cached && this.replica.read(cached.through + 1)) return cached
		this.lastSnapshot = encodeSnapshot(this.state)
		return this.lastSnapshot
	}
}
