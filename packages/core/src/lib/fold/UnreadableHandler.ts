import type { UnreadableProposal } from '../log/UnreadableProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Rejects records that are not proposals.
 *
 * @internal
 */
export class UnreadableHandler extends ProposalHandler<'unreadable'> {
	override readonly kind = 'unreadable'

	override check(_state: FleetState, { reason }: UnreadableProposal): string | undefined {
		return reason
	}

	override apply(): void {
		return
	}
}
