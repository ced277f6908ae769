import type { LogEntry } from '../log/LogEntry.js'
import type { Proposal } from '../log/Proposal.js'
import type { FleetState } from '../state/FleetState.js'

/**
 * Checks proposals of one kind and applies the accepted ones. Handlers are deterministic: the same
 * state and entry give the same decision on every daemon.
 *
 * @public
 */
export abstract class ProposalHandler<Kind extends Proposal['kind'] = Proposal['kind']> {
	abstract readonly kind: Kind

	/**
	 * Checks a proposal against the state at its offset. Must not change the state.
	 *
	 * @returns the reason for a rejection, or undefined to accept. Reasons are stored in the state, so
	 *   their texts must be the same on every daemon.
	 */
	abstract check(
		state: FleetState,
		proposal: Extract<Proposal, { kind: Kind }>,
		entry: LogEntry
	): string | undefined

	/** Applies an accepted proposal to the state. */
	abstract apply(
		state: FleetState,
		proposal: Extract<Proposal, { kind: Kind }>,
		entry: LogEntry
	): void
}
