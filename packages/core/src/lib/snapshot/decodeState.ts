import type { FleetState } from '../state/FleetState.js'

function reviveMap(_key: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || !('$map' in value)) return value
	return new Map(value.$map as [unknown, unknown][])
}

/**
 * Decodes a state that `encodeState` encoded.
 *
 * @internal
 */
export function decodeState(text: string): FleetState {
	return JSON.parse(text, reviveMap) as FleetState
}
