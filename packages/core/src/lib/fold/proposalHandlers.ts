import { ApplyHandler } from './ApplyHandler.js'
import { IssueKeyHandler } from './IssueKeyHandler.js'
import type { ProposalHandler } from './ProposalHandler.js'
import { SnapshotHandler } from './SnapshotHandler.js'
import { SnapshotMarkHandler } from './SnapshotMarkHandler.js'
import { UnreadableHandler } from './UnreadableHandler.js'
import { WithdrawKeyHandler } from './WithdrawKeyHandler.js'

/**
 * Every kind of proposal that the fold knows, one handler each.
 *
 * @internal
 */
export const proposalHandlers: readonly ProposalHandler[] = [
	new ApplyHandler(),
	new IssueKeyHandler(),
	new SnapshotHandler(),
	new SnapshotMarkHandler(),
	new UnreadableHandler(),
	new WithdrawKeyHandler(),
]
