import type { KeyId } from '../ids/KeyId.js'
import type { FleetState } from '../state/FleetState.js'

/**
 * Withdraws a key for good. An unknown id is kept as withdrawn too, so that a record that issues
 * it and comes later is rejected.
 *
 * @internal
 */
export function withdrawKey(state: FleetState, id: KeyId): void {
	const key = state.keys.get(id)
	if (key?.state === 'withdrawn') return
	state.keys.set(id, {
		id,
		team: key?.team ?? '',
		hash: '',
		state: 'withdrawn',
		withdrawnAt: state.at,
	})
}
