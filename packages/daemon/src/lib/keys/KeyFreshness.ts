import type { FleetState, InstanceId, Milliseconds, TimerService } from '@mastichead/core'
import type { KeyReport } from './KeyReport.js'
import type { KeyLog } from './KeyLog.js'

const NEVER = -Infinity

interface PendingReport {
	readonly report: KeyReport
	readonly askedAt: Milliseconds
}

/**
 * Knows how long ago this daemon could last have learned of a withdrawal: from the platform, from
 * a peer that had reached it, or from more than half of the members, where an operator may have
 * withdrawn a key while the platform is down.
 *
 * @internal
 */
export class KeyFreshness {
	/** Age that a daemon in contact with the platform may show between two reads. */
	static readonly MAXIMUM_CONNECTED_AGE_MILLISECONDS: Milliseconds = 5000

	private logKnownFromPeersAt = NEVER
	private readonly lastContacts = new Map<InstanceId, Milliseconds>()
	/** What peers ahead of the own fold told; one each, the oldest that still waits. */
	private readonly pendingReports = new Map<InstanceId, PendingReport>()

	constructor(
		private readonly timers: TimerService,
		private readonly log: KeyLog,
		private readonly instance: InstanceId
	) {}

	/** Age of the knowledge of the log, in milliseconds; undefined when it was never heard of. */
	getLogAge(): Milliseconds | undefined {
		this.applyPendingReports()
		const knownAt = Math.max(this.log.platformContactAt ?? NEVER, this.logKnownFromPeersAt)
		return knownAt === NEVER ? undefined : this.timers.now() - knownAt
	}

	/** Whether a withdrawal would have been learned within `age` milliseconds. */
	isFresh(maximumAge: Milliseconds): boolean {
		if ((this.getLogAge() ?? Infinity) <= maximumAge) return true
		return this.timers.now() - this.getMajorityContactAt(this.log.state) <= maximumAge
	}

	/**
	 * Takes in what a peer knows of the log. It counts only once the own state includes what the
	 * peer had folded, so that a withdrawal in between is known here too.
	 */
	handleReport(report: KeyReport, askedAt: Milliseconds): void {
		this.applyPendingReports()
		if (report.offset < 0) return
		if (this.pendingReports.has(report.instance)) return
		this.pendingReports.set(report.instance, { report: report, askedAt })
		this.applyPendingReports()
	}

	private applyPendingReports(): void {
		for (const { report: knowledge, askedAt } of this.pendingReports.values()) {
			const { instance, age, offset } = knowledge
			if (offset > this.log.state.offset) continue
			this.pendingReports.delete(instance)
			this.lastContacts.set(instance, Math.max(this.lastContacts.get(instance) ?? NEVER, askedAt))
			if (age !== undefined)
				this.logKnownFromPeersAt = Math.max(this.logKnownFromPeersAt, askedAt - age)
		}
	}

	/** The latest instant since which more than half of the members, this one included, answered. */
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
