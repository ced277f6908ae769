import type { Ledger } from './Ledger.js'
import type { LedgerBug } from './LedgerBug.js'
import { allowanceTerms } from './allowanceTerms.js'

/**
 * Frees what no member can use any more.
 *
 * @internal
 */
export function expireLedger(ledger: Ledger, at: number, bug: LedgerBug | undefined): Ledger {
	const delay =
		allowanceTerms.run * (1 + allowanceTerms.clockRateError) + allowanceTerms.deliveryMargin
	const reclaim = bug === 'reclaim-without-run-bound' ? 0 : delay
	const members = ledger.members.map((member) => {
		const silence = at - member.renewedAt
		if (silence > allowanceTerms.floorLease + reclaim) return { ...member, isGone: true, amount: 0 }
		if (member.lapsed || silence <= allowanceTerms.lease + reclaim) return member
		const isFloorInUse =
			at - (member.lapsedFrom ?? -Infinity) <= allowanceTerms.floorLease + reclaim
		if (isFloorInUse && bug !== 'lapse-twice') return member
		const amount = Math.floor(member.amount / 2)
		return { ...member, lapsed: true, lapsedFrom: member.renewedAt, amount }
	})
	return { ...ledger, members }
}
