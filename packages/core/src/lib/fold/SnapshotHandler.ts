import type { LogEntry } from '../log/LogEntry.js'
import type { SnapshotProposal } from '../log/SnapshotProposal.js'
import type { FleetState } from '../state/FleetState.js'
import { ProposalHandler } from './ProposalHandler.js'

/**
 * Accepts the parts of snapshots. They change nothing: a daemon that applies them already has the
 * state that they encode.
 *
 * @internal
 */
export class SnapshotHandler extends ProposalHandler<'snapshot'> {
	override readonly kind = 'snapshot'

	override check(
		_state: FleetState,
		{ through, part, parts }: SnapshotProposal,
		{ offset }: LogEntry
	): string | undefined {
		if (through >= offset) return 'a snapshot covers entries before it only'
		if (part >= parts) return `part ${part} of ${parts}`
		return undefined
	}

	override apply(): void {
		return
	}
}
