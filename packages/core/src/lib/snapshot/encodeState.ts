import type { FleetState } from '../state/FleetState.js'

/** Sorts the keys of a row, whose order depends on which fields were set first. */
function sortKeys(row: object): object {
	return Object.fromEntries(Object.entries(row).sort(([a], [b]) => (a < b ? -1 : 1)))
}

function replaceValue(_key: string, value: unknown): unknown {
	if (value instanceof Map) return { $map: [...value] }
	if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
	return sortKeys(value)
}

/**
 * Encodes the whole state as JSON, with maps as lists of entries in insertion order. Two states are
 * equal if and only if their encodings are equal; a field that is undefined counts as absent.
 *
 * @internal
 */
export function encodeState(state: FleetState): string {
	return JSON.stringify(state, replaceValue)
}
