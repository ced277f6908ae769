import type { KeyId } from '../ids/KeyId.js'
import type { FleetState } from '../state/FleetState.js'

/**
 * Withdraws a key for good, or once more. An unknown id is kept as withdrawn too, so that a record that issues
 * it and comes later is rejected.
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
