import type { AllowanceProposal } from './AllowanceProposal.js'
import type { ApplyProposal } from './ApplyProposal.js'
import type { DrainProposal } from './DrainProposal.js'
import type { HealthProposal } from './HealthProposal.js'
import type { HeartbeatProposal } from './HeartbeatProposal.js'
import type { IssueKeyProposal } from './IssueKeyProposal.js'
import type { JoinProposal } from './JoinProposal.js'
import type { LeaveProposal } from './LeaveProposal.js'
import type { MoveProposal } from './MoveProposal.js'
import type { SnapshotMarkProposal } from './SnapshotMarkProposal.js'
import type { SnapshotProposal } from './SnapshotProposal.js'
import type { UnreadableProposal } from './UnreadableProposal.js'
import type { WaveProposal } from './WaveProposal.js'
import type { WaveStepProposal } from './WaveStepProposal.js'
import type { WithdrawKeyProposal } from './WithdrawKeyProposal.js'

/**
 * The content of a log record. The fold accepts or rejects each proposal by the state at its offset.
 *
 * @public
 */
export type Proposal =
	| ApplyProposal
	| IssueKeyProposal
	| WithdrawKeyProposal
	| JoinProposal
	| HeartbeatProposal
	| LeaveProposal
	| AllowanceProposal
	| DrainProposal
	| MoveProposal
	| WaveProposal
	| WaveStepProposal
	| HealthProposal
	| SnapshotProposal
	| SnapshotMarkProposal
	| UnreadableProposal
