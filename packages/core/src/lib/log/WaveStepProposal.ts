import type { BackendServerId } from '../ids/BackendServerId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { WaveStep } from './WaveStep.js'

/**
 * Carries one step of a wave on one backend server.
 *
 * @public
 */
export interface WaveStepProposal {
	readonly kind: 'wave-step'
	readonly id: ProposalId
	readonly wave: WaveId
	readonly backendServer: BackendServerId
	readonly step: WaveStep
	/**
	 * Offset since which the backend server does what the proposer saw it do. The fold rejects the
	 * step once it does something else, also when it has come back to the same activity.
	 */
	readonly since?: number | undefined
	readonly proposer: string
}
