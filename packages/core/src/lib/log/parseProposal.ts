import type { Proposal } from './Proposal.js'
import { proposalSchema } from './proposalSchema.js'

/**
 * Parses a record of the log. A record that is not a valid proposal becomes one of the kind
 * `unreadable`, so that it keeps its offset and every daemon rejects it for the same reason.
 *
 * @param record - JSON of a proposal
 * @param offset - offset of the record
 *
 * @public
 */
export function parseProposal(record: string, offset: number): Proposal {
	const unreadable = (reason: string): Proposal => ({
		kind: 'unreadable',
		id: `unreadable-${offset}`,
		reason,
	})
	let content: unknown
	try {
		content = JSON.parse(record)
	} catch {
		return unreadable('the record is not JSON')
	}
	const parsed = proposalSchema.safeParse(content)
	if (parsed.success) return content as Proposal
	const [issue] = parsed.error.issues
	return unreadable(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not a proposal'}`)
}
