import type { IssueKeyProposal } from '../log/IssueKeyProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Adds caller keys.
 *
 * @internal
 */
export class IssueKeyHandler extends ProposalHandler<'issue-key'> {
	override readonly kind = 'issue-key'

	override check(state: FleetState, { key, team }: IssueKeyProposal): string | undefined {
		const known = state.keys.get(key)
		if (known?.state === 'withdrawn') return `key ${key} is withdrawn`
		if (known) return `key ${key} exists`
		if (!state.teams.has(team)) return `no such team ${team}`
		return undefined
	}

	override apply(state: FleetState, { key, team, hash }: IssueKeyProposal): void {
		state.keys.set(key, { id: key, team, hash, state: 'active' })
	}
}
