import type { WithdrawKeyProposal } from '../log/WithdrawKeyProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'
import { withdrawKey } from './withdrawKey.js'

/**
 * Withdraws caller keys. Always accepted; a repeated withdrawal only updates the time of withdrawal.
 *
 * @internal
 */
export class WithdrawKeyHandler extends ProposalHandler<'withdraw-key'> {
	override readonly kind = 'withdraw-key'

	override check(): string | undefined {
		return undefined
	}

	override apply(state: FleetState, { key }: WithdrawKeyProposal): void {
		withdrawKey(state, key)
	}
}
