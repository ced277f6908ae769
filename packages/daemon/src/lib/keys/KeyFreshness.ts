import type { FleetState, InstanceId, Milliseconds, TimerService } from '@mastichead/core'
import type { KeyReport } from './KeyReport.js'
import type { KeyLog } from './KeyLog.js'

const NEVER = -Infinity

interface PendingReport {
	readonly report: KeyReport
	readonly requestedAt: Milliseconds
}

/**
 * Tracks how long ago this daemon could last have learned of a withdrawal: from the platform, from
 * a peer that had reached the platform, or from more than half of the members, since an operator
 * may withdraw a key at any member while the platform is down.
 *
 * @internal
 */
export class KeyFreshness {
	/** Maximum age that a daemon in contact with the platform reaches between two reads. */
	static readonly MAXIMUM_CONNECTED_AGE_MILLISECONDS: Milliseconds = 5000

	/** Monotonic instant up to which the log is known through reports of peers. */
	private logKnownFromPeersAt = NEVER
	/** By peer, the instant before its last applied report was requested. */
	private readonly lastContacts = new Map<InstanceId, Milliseconds>()
	/** Reports of peers that are ahead of the local state: for each peer, the oldest such report. */
	private readonly pendingReports = new Map<InstanceId, PendingReport>()

	constructor(
		private readonly timers: TimerService,
		private readonly log: KeyLog,
		private readonly instance: InstanceId
	) {}

	/**
	 * Returns the age of the newest log contents known here, in milliseconds; undefined if none are.
	 */
	getLogAge(): Milliseconds | undefined {
		this.applyPendingReports()
		const knownAt = Math.max(this.log.platformContactAt ?? NEVER, this.logKnownFromPeersAt)
		return knownAt === NEVER ? undefined : this.timers.now() - knownAt
	}

	/** Whether every withdrawal older than `maximumAge` milliseconds would be known here. */
	isFresh(maximumAge: Milliseconds): boolean {
		if ((this.getLogAge() ?? Infinity) <= maximumAge) return true
		return this.timers.now() - this.getMajorityContactAt(this.log.state) <= maximumAge
	}

	/**
	 * Accepts a report of a peer. It takes effect only once the local state includes everything that
	 * the peer had folded, so that a withdrawal in between is known here too.
	 *
	 * @param requestedAt - monotonic instant before the report was requested
	 */
	handleReport(report: KeyReport, requestedAt: Milliseconds): void {
		this.applyPendingReports()
		if (report.offset < 0) return
		if (this.pendingReports.has(report.instance)) return
		this.pendingReports.set(report.instance, { report, requestedAt })
		this.applyPendingReports()
	}

	private applyPendingReports(): void {
		for (const { report, requestedAt } of this.pendingReports.values()) {
			const { instance, age, offset } = report
			if (offset > this.log.state.offset) continue
			this.pendingReports.delete(instance)
			this.lastContacts.set(
				instance,
				Math.max(this.lastContacts.get(instance) ?? NEVER, requestedAt)
			)
			if (age !== undefined)
				this.logKnownFromPeersAt = Math.max(this.logKnownFromPeersAt, requestedAt - age)
		}
	}

	/**
	 * Returns the latest instant since which more than half of the members, including this one, have
	 * answered.
	 */
	private getMajorityContactAt({ members }: FleetState): Milliseconds {
		for (const name of this.lastContacts.keys())
			if (!members.has(name)) this.lastContacts.delete(name)
		if (!members.has(this.instance)) return NEVER
		const others = [...members.values()].filter(
			({ instance, lapsed }) => !lapsed && instance !== this.instance
		)
		if (others.length === 0) return NEVER
		const contacts = others.map(({ instance }) => this.lastContacts.get(instance) ?? NEVER)
		contacts.sort((a, b) => b - a)
		return contacts[Math.ceil(others.length / 2) - 1] ?? NEVER
	}
}
