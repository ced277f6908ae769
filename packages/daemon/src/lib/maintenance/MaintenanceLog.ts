import type { FleetState, Proposal } from '@mastichead/core'
import type { ProposalOutcome } from '../log/ProposalOutcome.js'

/**
 * The part of the log interface that maintenance uses.
 *
 * @public
 */
export interface MaintenanceLog {
	readonly state: FleetState
	readonly isReady: boolean
	propose(proposal: Proposal): Promise<ProposalOutcome>
}
