import type { ProposalId } from '../ids/ProposalId.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { Proposal } from '../log/Proposal.js'
import type { Decision } from '../state/Decision.js'
import type { FleetState } from '../state/FleetState.js'
import { expireMembers } from '../allowance/expireMembers.js'
import { assert } from '../assert.js'
import { createFleetState } from '../state/createFleetState.js'
import { proposalHandlers } from './proposalHandlers.js'
import type { ProposalHandler } from './ProposalHandler.js'

/** Number of decisions kept, so that a repeated proposal gets the same decision again. */
const MAXIMUM_DECISIONS = 4096

/**
 * Applies log entries to the fleet state. It is deterministic: it reads no clock and does no I/O, so
 * every daemon that applies the same entries reaches the same state.
 *
 * @example
 * ```ts
 * const fold = new Fold()
 * const decision = fold.apply(entry)
 * ```
 *
 * @public
 */
export class Fold {
	private readonly handlers = new Map<Proposal['kind'], ProposalHandler>()

	/** @param state - state to continue from; by default the one before the first entry */
	constructor(readonly state: FleetState = createFleetState()) {
		for (const handler of proposalHandlers) this.handlers.set(handler.kind, handler)
	}

	/**
	 * Applies the next entry. A repeated proposal gets its first decision and changes nothing more.
	 *
	 * @returns the decision on the proposal, or undefined if the entry was applied before
	 */
	apply(entry: LogEntry): Decision | undefined {
		if (entry.offset <= this.state.offset) return undefined
		assert(entry.offset === this.state.offset + 1, 'log entries must be applied without a gap')
		this.state.offset = entry.offset
		this.state.at = Math.max(this.state.at, entry.at)
		expireMembers(this.state, this.state.at)
		const previous = this.state.decisions.get(entry.proposal.id)
		if (previous) return previous
		const decision = this.decide(entry)
		this.recordDecision(entry.proposal.id, decision)
		return decision
	}

	private decide(entry: LogEntry): Decision {
		const { offset, proposal } = entry
		const handler = this.handlers.get(proposal.kind)
		if (!handler) return { type: 'rejected', offset, reason: `unknown kind ${proposal.kind}` }
		const reason = this.check(handler, entry)
		if (reason !== undefined) return { type: 'rejected', offset, reason }
		handler.apply(this.state, proposal, entry)
		return { type: 'accepted', offset }
	}

	/** Rejects a proposal whose check throws; otherwise a bug in a check would stop every daemon. */
	private check(handler: ProposalHandler, entry: LogEntry): string | undefined {
		try {
			return handler.check(this.state, entry.proposal, entry)
		} catch {
			return 'the check failed'
		}
	}

	private recordDecision(proposalId: ProposalId, decision: Decision): void {
		this.state.decisions.set(proposalId, decision)
		if (this.state.decisions.size <= MAXIMUM_DECISIONS) return
		const oldest = this.state.decisions.keys().next()
		if (!oldest.done) this.state.decisions.delete(oldest.value)
	}
}
