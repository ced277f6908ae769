import { parseDocument } from 'yaml'
import { validateFleet } from './validateFleet.js'
import type { FleetParseResult } from './FleetParseResult.js'

/** Maximum number of expanded aliases; limits alias expansion attacks ("billion laughs"). */
const MAXIMUM_ALIASES = 100

/**
 * Parses a fleet file in YAML, validates it and fills in defaults (see `fleetFileSchema`).
 *
 * @param text - content of the file
 * @returns the complete document, or all problems found
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
