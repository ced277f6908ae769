import type { Ledger } from './Ledger.js'
import type { LedgerMistake } from './LedgerMistake.js'
import { terms } from './terms.js'

/**
 * Frees what no member can use any more.
 *
 * @internal
 */
export function expireLedger(
	ledger: Ledger,
	at: number,
	mistake: LedgerMistake | undefined
): Ledger {
	const delay = terms.run * (1 + terms.clockRateError) + terms.margin
	const reclaim = mistake === 'reclaim-without-run-bound' ? 0 : delay
	const members = ledger.members.map((member) => {
		const silence = at - member.renewedAt
		if (silence > terms.floorLease + reclaim) return { ...member, isGone: true, amount: 0 }
		if (member.lapsed || silence <= terms.lease + reclaim) return member
		const isFloorInUse = at - (member.lapsedFrom ?? -Infinity) <= terms.floorLease + reclaim
		if (isFloorInUse && mistake !== 'lapse-twice') return member
		const amount = Math.floor(member.amount / 2)
		return { ...member, lapsed: true, lapsedFrom: member.renewedAt, amount }
	})
	return { ...ledger, members }
}
