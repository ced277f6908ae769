import type { CallerKey } from './CallerKey.js'

const KEY_PATTERN = /^mh_([0-9a-f]{16})_([A-Za-z0-9_-]{43})$/

/**
 * Parses a caller key.
 *
 * @returns undefined if `text` is not a well-formed key
 *
 * @public
 */
export function parseCallerKey(text: string): CallerKey | undefined {
	const [, id, secret] = KEY_PATTERN.exec(text) ?? []
	if (id === undefined || secret === undefined) return undefined
	return { id, secret, text }
}
