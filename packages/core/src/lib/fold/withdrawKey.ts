import type { KeyId } from '../ids/KeyId.js'
import type { FleetState } from '../state/FleetState.js'

/**
 * Withdraws a key for good. An unknown id is also stored as withdrawn, so that a delayed record that
 * issues it is rejected.
 *
 * @internal
 */
export function withdrawKey(state: FleetState, id: KeyId): void {
	const key = state.keys.get(id)
	state.keys.set(id, {
		id,
		team: key?.team ?? '',
		hash: '',
		state: 'withdrawn',
		withdrawnAt: state.at,
	})
}
