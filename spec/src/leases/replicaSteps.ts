import type { LeaseLog } from './LeaseLog.js'
import type { LeaseRules } from './LeaseRules.js'
import type { LeaseReplica } from './LeaseReplica.js'

/**
 * What a process reads of the log, and until when leases may last by that. A receipt is never
 * earlier than the write.
 */
export const replicaSteps = {
	/** Creates the replica of a new process, which has read nothing. */
	create(log: LeaseLog, rules: LeaseRules): LeaseReplica {
		const unread = log.terms.map((term) => {
			if (term === 'unwritten' || (term === 'ended' && rules.bug === 'deleted-term-ignored'))
				return 'none'
			return 'record'
		})
		const expiryTicks = log.terms.map(() => undefined)
		return { expiryTicks, unread, lostTicks: undefined, isLostUnread: true }
	},

	/** Reads the log to its end. */
	read(replica: LeaseReplica, log: LeaseLog, rules: LeaseRules): LeaseReplica {
		const expiryTicks = replica.unread.map((unread, index) => {
			const known = replica.expiryTicks[index]
			if (unread === 'none') return known
			if (log.terms[index] === 'written') return rules.maximumOwnerSilence + rules.lease
			const endedTicks = rules.bug === 'lease-ignored' ? 0 : rules.lease
			// An earlier receipt dates the last order only if nothing of the term was missed since.
			const isDated = unread === 'ended' || rules.bug === 'earlier-receipt-kept'
			return isDated && known !== undefined ? Math.min(known, endedTicks) : endedTicks
		})
		const lostTicks = replica.isLostUnread ? log.lostTicks : replica.lostTicks
		const unread = replica.unread.map(() => 'none' as const)
		return { expiryTicks, unread, lostTicks, isLostUnread: false }
	},

	/** Returns the ticks until all leases of the terms before `token` have expired. */
	getInheritedTicks(replica: LeaseReplica, token: number, rules: LeaseRules): number {
		const earlier = replica.expiryTicks.slice(0, token - 1).map((ticks) => ticks ?? 0)
		const sentTicks = rules.bug === 'lease-ignored' ? rules.lease : 0
		const byTerms = Math.max(0, ...earlier) - sentTicks
		return Math.max(0, Math.min(byTerms, replica.lostTicks ?? Infinity))
	},

	/** Whether a term has sent its last order, by the receipt of its latest record. */
	hasSentLastOrder({ expiryTicks }: LeaseReplica, token: number, rules: LeaseRules): boolean {
		const ticks = expiryTicks[token - 1]
		return ticks !== undefined && ticks <= rules.lease
	},

	tick(replica: LeaseReplica): LeaseReplica {
		const { expiryTicks, lostTicks } = replica
		return {
			...replica,
			expiryTicks: expiryTicks.map((ticks) => ticks && ticks - 1),
			lostTicks: lostTicks && lostTicks - 1,
		}
	},
}
