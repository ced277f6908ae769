import { DrainHandler } from './DrainHandler.js'
import { HealthHandler } from './HealthHandler.js'
import { MoveHandler } from './MoveHandler.js'
import { AllowanceHandler } from './AllowanceHandler.js'
import { HeartbeatHandler } from './HeartbeatHandler.js'
import { JoinHandler } from './JoinHandler.js'
import { LeaveHandler } from './LeaveHandler.js'
import type { ProposalHandler } from './ProposalHandler.js'
import { WaveHandler } from './WaveHandler.js'
import { WaveStepHandler } from './WaveStepHandler.js'

/**
 * Every kind of proposal that the fold knows, one handler each.
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
]
