import type {
	AllowanceHolder,
	AvailabilityZoneId,
	HeartbeatProposal,
	InstanceId,
	JoinProposal,
	Milliseconds,
	Subscription,
	TimerService,
} from '@mastichead/core'
import { randomUUID } from 'node:crypto'
import type { Logger } from 'winston'
import type { LogManager } from '../log/LogManager.js'

const HEARTBEAT_INTERVAL_MILLISECONDS = 5000
const RENEWAL_TIMEOUT_MILLISECONDS = 20_000
const RELEASE_POLL_INTERVAL_MILLISECONDS = 50

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	readonly log: LogManager
	readonly holder: AllowanceHolder
	readonly availabilityZone: AvailabilityZoneId
	/** `host:port` of the peer port. */
	readonly peerAddress: string
	/**
	 * Called when the fold has removed this member; the daemon must join again as a new incarnation.
	 */
	readonly onDropped: () => void
}

/**
 * Joins under the name of this incarnation, renews the lease, and leaves once all units are
 * released.
 *
 * @public
 */
export class MembershipManager {
	private timer: Subscription | undefined
	private isRenewing = false
	private hasReportedRemoval = false
	private isLeaving = false

	constructor(private readonly options: Options) {}

	/** Joins. Resolves once the fold has accepted the join, or once this daemon is leaving. */
	async start(): Promise<void> {
		const { log, holder, timers, availabilityZone, peerAddress } = this.options
		log.onChange(() => {
			this.handleStateChange()
		})
		const { instance } = holder
		const id = `${instance}/join`
		while (!this.isLeaving && !log.state.members.has(instance)) {
			await this.renew({ kind: 'join', id, instance, availabilityZone, peerAddress })
		}
		if (this.isLeaving) return
		this.timer = timers.every(HEARTBEAT_INTERVAL_MILLISECONDS, () => {
			this.sendHeartbeat(instance)
		})
	}

	/**
	 * Leaves if all units are released within the grace period; otherwise the lease expires.
	 *
	 * @param gracePeriod - maximum time to wait for the release and for the return of loans, in
	 *   milliseconds
	 * @returns whether the leave was accepted
	 */
	async leave(gracePeriod: Milliseconds): Promise<boolean> {
		const { timers, holder, log, logger } = this.options
		this.isLeaving = true
		if (!log.state.members.has(holder.instance)) return false
		const end = timers.now() + gracePeriod
		const isReleased = () => holder.canLeave() && holder.borrower.isSettled()
		while (!isReleased() && timers.now() < end) {
			await new Promise<void>((resolve) => {
				timers.after(RELEASE_POLL_INTERVAL_MILLISECONDS, resolve)
			})
		}
		this.timer?.cancel()
		if (!holder.canLeave()) {
			logger.warn('member-lease-left', { instance: holder.instance })
			return false
		}
		holder.stop()
		const { instance } = holder
		const outcome = await log.propose({ kind: 'leave', id: `${instance}/leave`, instance })
		return outcome.type === 'decided' && outcome.decision.type === 'accepted'
	}

	private handleStateChange(): void {
		const { holder, log, logger, onDropped } = this.options
		holder.observe(log.state)
		if (!holder.isRemoved || this.hasReportedRemoval) return
		this.hasReportedRemoval = true
		logger.error('member-dropped', { instance: holder.instance })
		onDropped()
	}

	/**
	 * Sends a heartbeat unless one is pending, so that they do not pile up while the platform is
	 * down.
	 */
	private sendHeartbeat(instance: InstanceId): void {
		if (this.isRenewing) return
		void this.renew({ kind: 'heartbeat', id: randomUUID(), instance })
	}

	private async renew(proposal: JoinProposal | HeartbeatProposal): Promise<void> {
		this.isRenewing = true
		this.options.holder.trackRenewal(proposal.id)
		await this.options.log.propose(proposal, RENEWAL_TIMEOUT_MILLISECONDS)
		this.isRenewing = false
	}
}
