import { parseDocument } from 'yaml'
import { validateFleet } from './validateFleet.js'
import type { FleetParseResult } from './FleetParseResult.js'

/** Aliases that a file may expand; more is taken for an expansion attack. */
const MAXIMUM_ALIASES = 100

/**
 * Reads a fleet file in YAML, checks it and fills in defaults (see `fleetFileSchema`).
 *
 * @param text - the file's content
 * @returns the whole document, or every problem found with its path
 *
 * @public
 */
export function parseFleet(text: string): FleetParseResult {
	const document = parseDocument(text, { prettyErrors: true })
	if (document.errors.length > 0) {
		const problems = document.errors.map((error) => ({ path: '', message: error.message.trim() }))
		return { type: 'invalid', problems }
	}
	let content: unknown
	try {
		content = document.toJS({ maxAliasCount: MAXIMUM_ALIASES })
	} catch (error) {
		return { type: 'invalid', problems: [{ path: '', message: String(error) }] }
	}
	return validateFleet(content)
}
