import type { Ledger } from './Ledger.js'
import type { LedgerBug } from './LedgerBug.js'
import type { LedgerRecord } from './LedgerRecord.js'

/**
 * Folds a record into the ledger.
 *
 * @param at - instant of the append in milliseconds
 * @returns undefined if the record is rejected
 *
 * @internal
 */
export function applyRecord(
	ledger: Ledger,
	at: number,
	record: LedgerRecord,
	bug: LedgerBug | undefined
): Ledger | undefined {
	const member = ledger.members[record.member]
	if (!member || member.isGone || isStale(member, record, bug)) return undefined
	const updated =
		record.kind === 'heartbeat'
			? renew(member, at, record.sentAt, bug)
			: changeAllowance(ledger, member, record, bug)
	const members = ledger.members.map((other, index) => (index === record.member ? updated : other))
	return { ...ledger, members }
}

function isStale(member: Member, record: LedgerRecord, bug: LedgerBug | undefined): boolean {
	if (record.kind === 'heartbeat' || bug === 'duplicates-applied') return false
	return record.sequence <= member.sequence
}

type Member = Ledger['members'][number]

function renew(member: Member, at: number, sentAt: number, bug: LedgerBug | undefined): Member {
	const isUndone = member.lapsed && bug === 'lapse-undone'
	return {
		...member,
		amount: isUndone ? member.amount * 2 + 1 : member.amount,
		renewedAt: at,
		lapsed: false,
		sentAt: Math.max(member.sentAt, sentAt),
	}
}

function changeAllowance(
	ledger: Ledger,
	member: Member,
	record: Extract<LedgerRecord, { kind: 'allowance' }>,
	bug: LedgerBug | undefined
): Member {
	const sequence = Math.max(member.sequence, record.sequence)
	if (record.delta < 0) {
		return { ...member, sequence, amount: Math.max(0, member.amount + record.delta) }
	}
	const total = ledger.members.reduce((sum, { amount }) => sum + amount, 0)
	const available = bug === 'grants-above-limit' ? record.delta : ledger.limit - total
	const grant = member.lapsed ? 0 : Math.max(0, Math.min(record.delta, available))
	return { ...member, sequence, amount: member.amount + grant }
}
