import { decodeSnapshot, type Subscription, type TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import type { LogReplica } from './LogReplica.js'
import type { PeerLog } from './PeerLog.js'
import type { PeerLogPage } from './PeerLogPage.js'

const CHECK_INTERVAL_MILLISECONDS = 250
/** How long a peer must stay ahead before its log is read; the platform is usually faster. */
const CATCH_UP_DELAY_MILLISECONDS = 500

/**
 * Catches up from peers that stay ahead of this replica for longer than reading the log takes,
 * which happens when this daemon cannot reach the log or has just started.
 *
 * @internal
 */
export class PeerCatchUp {
	private timer: Subscription | undefined
	/** Instant since which the replica has been behind a peer at `stalledOffset`. */
	private stalledSince: number | undefined
	private stalledOffset = -1
	private isCatchingUp = false
	private nextPeerIndex = 0

	/**
	 * @param getPeerLogs - returns the logs of the peers known now
	 * @param onCaughtUp - called when the replica has reached the offset of every peer, or of the
	 *   peer that it read from
	 */
	constructor(
		private readonly timers: TimerService,
		private readonly replica: LogReplica,
		private readonly logger: Logger,
		private readonly getPeerLogs: () => readonly PeerLog[],
		private readonly onCaughtUp: () => void
	) {}

	start(): void {
		this.timer = this.timers.every(CHECK_INTERVAL_MILLISECONDS, () => {
			this.checkPeers()
		})
	}

	stop(): void {
		this.timer?.cancel()
	}

	private checkPeers(): void {
		const { offset } = this.replica.state
		const peers = this.getPeerLogs().filter((peer) => peer.reportedOffset >= 0)
		const peersAhead = peers.filter((peer) => peer.reportedOffset > offset)
		if (peers.length > 0 && peersAhead.length === 0) this.onCaughtUp()
		if (peersAhead.length === 0 || offset !== this.stalledOffset) {
			this.stalledSince = peersAhead.length > 0 ? this.timers.now() : undefined
			this.stalledOffset = offset
			return
		}
		this.stalledSince ??= this.timers.now()
		if (this.isCatchingUp || this.timers.now() - this.stalledSince < CATCH_UP_DELAY_MILLISECONDS)
			return
		const peer = peersAhead[this.nextPeerIndex++ % peersAhead.length]
		if (peer) void this.catchUpFrom(peer)
	}

	private async catchUpFrom(peer: PeerLog): Promise<void> {
		this.isCatchingUp = true
		try {
			const targetOffset = peer.reportedOffset
			for (let hasProgress = true; hasProgress && this.replica.state.offset < targetOffset;) {
				const page = await peer.readLog(this.replica.state.offset + 1)
				hasProgress = page !== undefined && this.applyPage(peer, page)
			}
			if (this.replica.state.offset >= targetOffset) this.onCaughtUp()
		} catch (error) {
			this.logger.warn('peer-log-failed', { peer: peer.name, reason: String(error) })
		} finally {
			this.isCatchingUp = false
		}
	}

	/** @returns whether the replica advanced */
	private applyPage(peer: PeerLog, page: PeerLogPage): boolean {
		const before = this.replica.state.offset
		if (page.type === 'records') {
			this.replica.apply(page.records)
			return this.replica.state.offset > before
		}
		const decoding = decodeSnapshot(page.snapshot)
		if (decoding.type === 'decoded') return this.replica.restore(decoding.state)
		this.logger.error('snapshot-damaged', { peer: peer.name, reason: decoding.reason })
		return false
	}
}
