import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { ProposalHandler } from './ProposalHandler.js'

/** Time for which withdrawn keys are kept, to reject a delayed record that issues one of them. */
const WITHDRAWN_KEY_RETENTION: Milliseconds = 7 * 24 * 3_600_000

/**
 * Marks the offset that a snapshot covers. Withdrawn keys that need no longer be kept are deleted
 * here, at the same offset on every daemon.
 *
 * @internal
 */
export class SnapshotMarkHandler extends ProposalHandler<'snapshot-mark'> {
	override readonly kind = 'snapshot-mark'

	override check(): string | undefined {
		return undefined
	}

	override apply(state: FleetState): void {
		for (const { id, withdrawnAt } of state.keys.values()) {
			if (withdrawnAt === undefined) continue
			if (withdrawnAt + WITHDRAWN_KEY_RETENTION < state.at) state.keys.delete(id)
		}
	}
}
