import { LeaseTiming } from '../owner/leases/LeaseTiming.js'

interface OpenTerm {
	/** The instance whose process holds the term; undefined while the term has no record of its own. */
	instance: string | undefined
	/** Time at which its latest record was read. */
	seenAt: number
}

/**
 * Terms of ownership whose owners may still send orders, according to the log. Times are on this
 * instance's monotonic clock, in milliseconds, and count from when a record was read, which is never
 * before it was written.
 *
 * @public
 */
export class TermHistory {
	/** Terms that are not known to have ended, by fencing token. */
	private readonly open = new Map<number, OpenTerm>()
	/** Time by which all other terms have ended. */
	private latestEnd = -Infinity
	private latestToken = 0
	/** Time at which the latest record of an owner was read. */
	ownerSeenAt = -Infinity

	/** Records that the log was loaded; terms that it does not name any more have ended before. */
	recordLoad(now: number): void {
		this.latestEnd = Math.max(this.latestEnd, now)
	}

	recordBegin(token: number, instance: string, now: number): void {
		this.open.set(token, { instance, seenAt: now })
		this.latestToken = Math.max(this.latestToken, token)
		this.ownerSeenAt = now
	}

	/** @param isTermRecorded - whether the owner has recorded its term, which earlier versions do not */
	recordHeartbeat(token: number, isTermRecorded: boolean, now: number): void {
		if (!isTermRecorded) this.open.set(token, { instance: undefined, seenAt: now })
		this.latestToken = Math.max(this.latestToken, token)
		this.recordSign(now)
	}

	/** Records that the owner of the latest term has written something. */
	recordSign(now: number): void {
		this.ownerSeenAt = now
		const term = this.open.get(this.latestToken)
		if (term) term.seenAt = now
	}

	/** Records that nothing is sent in a term any more. */
	recordEnd(token: number, now: number): void {
		const term = this.open.get(token)
		if (!term) return
		this.open.delete(token)
		this.latestEnd = Math.max(
			this.latestEnd,
			Math.min(now, LeaseTiming.getLatestOrder(term.seenAt))
		)
	}

	/**
	 * Records that this instance takes over. An owner that has not recorded its term relies on its
	 * membership of the group, which may have been confirmed until now. Returns the tokens of such terms.
	 */
	recordTakeover(now: number): number[] {
		const tokens: number[] = []
		for (const [token, term] of this.open) {
			if (term.instance !== undefined) continue
			term.instance = ''
			term.seenAt = now
			tokens.push(token)
		}
		return tokens
	}

	/** Returns the time by which the owners of all terms but one have sent their last order. */
	getLatestOrder(ownToken: number): number {
		let latest = this.latestEnd
		for (const [token, { seenAt }] of this.open) {
			if (token !== ownToken) latest = Math.max(latest, LeaseTiming.getLatestOrder(seenAt))
		}
		return latest
	}

	/** Returns the tokens of the open terms that processes of an instance hold. */
	getTokensOf(instance: string): number[] {
		return [...this.open].filter(([, term]) => term.instance === instance).map(([token]) => token)
	}

	/** Returns the tokens of all open terms but one. */
	getOpenTokens(ownToken: number): number[] {
		return [...this.open.keys()].filter((token) => token !== ownToken)
	}

	/** Whether the owner of an open term cannot send orders any more. */
	isOver(token: number, now: number): boolean {
		const term = this.open.get(token)
		if (term?.instance === undefined) return false
		return LeaseTiming.getLatestOrder(term.seenAt) <= now
	}
}
