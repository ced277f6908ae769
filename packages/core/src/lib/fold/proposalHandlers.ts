import { DrainHandler } from './DrainHandler.js'
import { HealthHandler } from './HealthHandler.js'
import { MoveHandler } from './MoveHandler.js'
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
]
