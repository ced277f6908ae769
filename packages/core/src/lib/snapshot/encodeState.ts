import type { FleetState } from '../state/FleetState.js'

/** Keys in one order, since that of a row depends on which fields were set first. */
function sortKeys(row: object): object {
	return Object.fromEntries(Object.entries(row).sort(([a], [b]) => (a < b ? -1 : 1)))
}

function replaceValue(_key: string, value: unknown): unknown {
	if (value instanceof Map) return { $map: [...value] }
	if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
	return sortKeys(value)
}

/**
 * The whole state as JSON, maps as lists of entries in their order. Two states are the same if
 * and only if their encodings are; a field that is undefined counts as absent.
 *
 * @internal
 */
export function encodeState(state: FleetState): string {
	return JSON.stringify(state, replaceValue)
}
