import type { BackendServerId } from '../ids/BackendServerId.js'
import type { ProposalId } from '../ids/ProposalId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { WaveStep } from './WaveStep.js'

/**
 * One step of a wave on one backend server.
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
	 * Offset at which the activity that the proposer saw began. The fold rejects the step if another
	 * activity has begun since, even one of the same type.
	 */
	readonly since?: number | undefined
	readonly proposer: string
}
