import type { ProposalHandler } from './ProposalHandler.js'

/**
 * Every kind of proposal that the fold knows, one handler each.
 *
 * @internal
 */
export const proposalHandlers: readonly ProposalHandler[] = []
