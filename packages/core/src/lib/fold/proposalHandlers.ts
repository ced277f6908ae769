import { AllowanceHandler } from './AllowanceHandler.js'
import { HeartbeatHandler } from './HeartbeatHandler.js'
import { JoinHandler } from './JoinHandler.js'
import { LeaveHandler } from './LeaveHandler.js'
import type { ProposalHandler } from './ProposalHandler.js'

/**
 * Every kind of proposal that the fold knows, one handler each.
 *
 * @internal
 */
export const proposalHandlers: readonly ProposalHandler[] = [
	new AllowanceHandler(),
	new HeartbeatHandler(),
	new JoinHandler(),
	new LeaveHandler(),
]
