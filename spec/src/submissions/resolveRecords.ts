import type { SubmissionRecord } from './SubmissionRecord.js'

/** What records amount to: the team whose job it is, and which teams have barred the id for themselves. */
interface Resolution {
	readonly team?: string
	readonly cancelled: boolean
	readonly barred: readonly string[]
}

/**
 * Decides which submission is the job: the first one that its own team has not cancelled before.
 *
 * @param isOrderIgnored - whether cancellations without a job have no effect
 */
export function resolveRecords(
	records: readonly (SubmissionRecord | undefined)[],
	isOrderIgnored = false
): Resolution {
	const deleted = new Set(
		records.flatMap((record) => (record?.kind === 'deletion' ? record.of : []))
	)
	const barred: string[] = []
	let winner: string | undefined
	let cancelled = false
	for (const [offset, record] of records.entries()) {
		if (!record || record.kind === 'deletion' || deleted.has(offset)) continue
		const { kind, team } = record
		if (kind === 'cancellation') {
			if (winner === undefined && !isOrderIgnored) barred.push(team)
			else if (winner === team || isOrderIgnored)
				cancelled ||= winner === undefined || winner === team
		} else if (winner === undefined && !barred.includes(team)) winner = team
	}
	return winner === undefined ? { cancelled, barred } : { team: winner, cancelled, barred }
}
