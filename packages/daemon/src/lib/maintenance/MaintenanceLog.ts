import type { FleetState, Proposal } from '@mastichead/core'
import type { ProposalOutcome } from '../log/ProposalOutcome.js'

/**
 * The log as maintenance uses it.
 *
 * @public
 */
export interface MaintenanceLog {
	readonly state: FleetState
	readonly isReady: boolean
	propose(proposal: Proposal): Promise<ProposalOutcome>
}
