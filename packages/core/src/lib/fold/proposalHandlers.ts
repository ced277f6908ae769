import { AllowanceHandler } from './AllowanceHandler.js'
import { ApplyHandler } from './ApplyHandler.js'
import { DrainHandler } from './DrainHandler.js'
import { HealthHandler } from './HealthHandler.js'
import { HeartbeatHandler } from './HeartbeatHandler.js'
import { IssueKeyHandler } from './IssueKeyHandler.js'
import { JoinHandler } from './JoinHandler.js'
import { LeaveHandler } from './LeaveHandler.js'
import { MoveHandler } from './MoveHandler.js'
import type { ProposalHandler } from './ProposalHandler.js'
import { SnapshotHandler } from './SnapshotHandler.js'
import { SnapshotMarkHandler } from './SnapshotMarkHandler.js'
import { UnreadableHandler } from './UnreadableHandler.js'
import { WaveHandler } from './WaveHandler.js'
import { WaveStepHandler } from './WaveStepHandler.js'
import { WithdrawKeyHandler } from './WithdrawKeyHandler.js'

/**
 * One handler for each kind of proposal.
 *
 * @internal
 */
export const proposalHandlers: readonly ProposalHandler[] = [
	new DrainHandler(),
	new HealthHandler(),
	new MoveHandler(),
	new WaveHandler(),
	new WaveStepHandler(),
	new AllowanceHandler(),
	new HeartbeatHandler(),
	new JoinHandler(),
	new LeaveHandler(),
	new ApplyHandler(),
	new IssueKeyHandler(),
	new SnapshotHandler(),
	new SnapshotMarkHandler(),
	new UnreadableHandler(),
	new WithdrawKeyHandler(),
]
