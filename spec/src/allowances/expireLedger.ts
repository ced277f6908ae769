import type { Ledger } from './Ledger.js'
import type { LedgerBug } from './LedgerBug.js'
import { allowanceTerms } from './allowanceTerms.js'

/**
 * Frees the units that members can no longer use: all but the floor of a lapsed member, and all
 * units of a member whose floor lease has run out. Waits until runs on them have ended.
 *
 * @param at - instant in milliseconds
 *
 * @internal
 */
export function expireLedger(ledger: Ledger, at: number, bug: LedgerBug | undefined): Ledger {
	const runDelay =
		allowanceTerms.run * (1 + allowanceTerms.clockRateError) + allowanceTerms.deliveryMargin
	const reclaimDelay = bug === 'reclaim-without-run-bound' ? 0 : runDelay
	const members = ledger.members.map((member) => {
		const silence = at - member.renewedAt
		if (silence > allowanceTerms.floorLease + reclaimDelay)
			return { ...member, isGone: true, amount: 0 }
		if (member.lapsed || silence <= allowanceTerms.lease + reclaimDelay) return member
		const isFloorInUse =
			at - (member.lapsedFrom ?? -Infinity) <= allowanceTerms.floorLease + reclaimDelay
		if (isFloorInUse && bug !== 'lapse-twice') return member
		const amount = Math.floor(member.amount / 2)
		return { ...member, lapsed: true, lapsedFrom: member.renewedAt, amount }
	})
	return { ...ledger, members }
}
