import { decodeSnapshot, type Subscription, type TimerService } from '@mastichead/core'
import type { Logger } from 'winston'
import type { FoldedLog } from './FoldedLog.js'
import type { PeerLog } from './PeerLog.js'
import type { PeerLogPage } from './PeerLogPage.js'

const INTERVAL_MILLISECONDS = 250
/** How long a peer may be ahead before it is asked; the log itself is usually faster. */
const PATIENCE_MILLISECONDS = 500

/**
 * Catches up from peers that are ahead of the own fold for longer than reading the log takes:
 * when this daemon is cut from the log, or has just started.
 *
 * @internal
 */
export class PeerCatchUp {
	private timer: Subscription | undefined
	private behindSince: number | undefined
	private behindOffset = -1
	private asking = false
	private turn = 0

	/**
	 * @param peers - the peers known now
	 * @param onReached - called when the fold is as far as every peer, or as the one that was asked
	 */
	constructor(
		private readonly timers: TimerService,
		private readonly log: FoldedLog,
		private readonly logger: Logger,
		private readonly peers: () => readonly PeerLog[],
		private readonly onReached: () => void
	) {}

	start(): void {
		this.timer = this.timers.every(INTERVAL_MILLISECONDS, () => {
			this.tick()
		})
	}

	stop(): void {
		this.timer?.cancel()
	}

	private tick(): void {
		const { offset } = this.log.state
		const peers = this.peers().filter((peer) => peer.offset >= 0)
		const ahead = peers.filter((peer) => peer.offset > offset)
		if (peers.length > 0 && ahead.length === 0) this.onReached()
		if (ahead.length === 0 || offset !== this.behindOffset) {
			this.behindSince = ahead.length > 0 ? this.timers.now() : undefined
			this.behindOffset = offset
			return
		}
		this.behindSince ??= this.timers.now()
		if (this.asking || this.timers.now() - this.behindSince < PATIENCE_MILLISECONDS) return
		const peer = ahead[this.turn++ % ahead.length]
		if (peer) void this.ask(peer)
	}

	private async ask(peer: PeerLog): Promise<void> {
		this.asking = true
		try {
			const target = peer.offset
			for (let more = true; more && this.log.state.offset < target;) {
				const page = await peer.readLog(this.log.state.offset + 1)
				more = page !== undefined && this.take(peer, page)
			}
			if (this.log.state.offset >= target) this.onReached()
		} catch (error) {
			this.logger.warn('peer-log-failed', { peer: peer.name, reason: String(error) })
		} finally {
			this.asking = false
		}
	}

	/** @returns whether the fold went forward */
	private take(peer: PeerLog, page: PeerLogPage): boolean {
		const before = this.log.state.offset
		if (page.type === 'records') {
			this.log.take(page.records)
			return this.log.state.offset > before
		}
		const decoding = decodeSnapshot(page.snapshot)
		if (decoding.type === 'decoded') return this.log.restore(decoding.state)
		this.logger.error('snapshot-damaged', { peer: peer.name, reason: decoding.reason })
		return false
	}
}
