import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { ProposalHandler } from './ProposalHandler.js'

/** For how long a record that issues a key may come late. */
const TOMBSTONE_MILLISECONDS: Milliseconds = 7 * 24 * 3_600_000

/**
 * Marks the offset that a snapshot covers. Rows that are only kept against late records are
 * dropped here, at the same offset on every daemon.
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
			if (withdrawnAt + TOMBSTONE_MILLISECONDS < state.at) state.keys.delete(id)
		}
	}
}
