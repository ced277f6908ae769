import type { ProposalId } from '../ids/ProposalId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { WaveAction } from './WaveAction.js'

/**
 * Creates a maintenance wave or changes its state.
 *
 * @public
 */
export interface WaveProposal {
	readonly kind: 'wave'
	readonly id: ProposalId
	readonly wave: WaveId
	readonly action: WaveAction
	readonly operator: string
}
