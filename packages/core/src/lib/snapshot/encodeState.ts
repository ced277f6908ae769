import type { FleetState } from '../state/FleetState.js'

function replaceMap(_key: string, value: unknown): unknown {
	return value instanceof Map ? { $map: [...value] } : value
}

/**
 * The whole state as JSON, maps as lists of entries in their order. Two states are the same if
 * and only if their encodings are.
 *
 * @internal
 */
export function encodeState(state: FleetState): string {
	return JSON.stringify(state, replaceMap)
}
