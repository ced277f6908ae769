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
import { LogReplica } from './LogReplica.js'
import { LogAppender } from './LogAppender.js'
import type { LogClient } from './LogClient.js'
import { LogFollower } from './LogFollower.js'
import { PeerCatchUp } from './PeerCatchUp.js'
import type { PeerLog } from './PeerLog.js'
import type { PeerLogPage } from './PeerLogPage.js'
import { ProposalTracker } from './ProposalTracker.js'
import type { ProposalOutcome } from './ProposalOutcome.js'

const DEFAULT_PROPOSE_TIMEOUT_MILLISECONDS = 10_000

/**
 * Follows the platform's log, folds it, and appends proposals to it. While the log cannot be
 * reached it catches up from peers. The state goes forward only.
 *
 * @example
 * ```ts
 * const client = new HttpLogClient(timers, ['http://10.0.0.1:7000'], 'entry-1')
 * const log = new LogManager(timers, client, logger)
 * log.start()
 * const outcome = await log.propose({ kind: 'heartbeat', id, instance })
 * ```
 *
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

	/** The folded state. Read it anew each time: a restart from a snapshot replaces the object. */
	get state(): FleetState {
		return this.replica.state
	}

	/**
	 * Whether the state may be served from: the end of the log, or the offset of a peer, was
	 * reached since the start.
	 */
	get isReady(): boolean {
		return this.follower.isCaughtUp || this.hasCaughtUpWithPeer
	}

	/** Offset to tell peers; -1 while not ready, since peers take what a ready one has for enough. */
	get sharedOffset(): number {
		return this.isReady ? this.state.offset : -1
	}

	/**
	 * Monotonic instant before the last read was sent that the platform answered; everything in
	 * the log by then is folded. Undefined before the first.
	 */
	get platformContactAt(): Milliseconds | undefined {
		return this.follower.platformContactAt
	}

	/** @param getPeerLogs - called whenever the log is to be caught up from peers */
	setPeerLogs(getPeerLogs: () => readonly PeerLog[]): void {
		this.getPeerLogs = getPeerLogs
	}

	start(): void {
		this.catchUp.start()
		this.followerRun = this.follower.run()
	}

	/** Stops following and appending; proposals under way end as undecided. */
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
	 * Appends a proposal and waits until it is folded here. It is sent again under the same id
	 * when an append's answer is lost.
	 *
	 * @param timeout - how long to wait, in milliseconds; by default 10 s
	 */
	propose(
		proposal: Proposal,
		timeout: Milliseconds = DEFAULT_PROPOSE_TIMEOUT_MILLISECONDS
	): Promise<ProposalOutcome> {
		return this.proposals.propose(proposal, timeout)
	}

	/** Calls `listener` whenever entries were folded or the state was replaced. */
	onChange(listener: () => void): Subscription {
		return this.replica.onChange(listener)
	}

	/** Calls `listener` after each folded entry. Entries that a snapshot covered are not seen. */
	onEntry(listener: (entry: LogEntry, decision: Decision) => void): Subscription {
		return this.replica.onEntry(listener)
	}

	/** Serves a peer that asks for the log from an offset on. */
	readLog(from: number): PeerLogPage {
		const records = this.replica.read(from)
		if (records) return { type: 'records', records }
		if (from > this.state.offset) return { type: 'records', records: [] }
		return { type: 'snapshot', snapshot: this.getSnapshot() }
	}

	/** The last snapshot made for a peer serves the next one too while the records after it last. */
	private getSnapshot(): Snapshot {
		const kept = this.lastSnapshot
		if (kept && this.replica.read(kept.through + 1)) return kept
		this.lastSnapshot = encodeSnapshot(this.state)
		return this.lastSnapshot
	}
}
