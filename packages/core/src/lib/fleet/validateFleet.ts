import type { FleetParseResult } from './FleetParseResult.js'
import { fleetFileSchema } from './fleetFileSchema.js'
import { getFleetProblems } from './getFleetProblems.js'
import { getSchemaProblems } from './getSchemaProblems.js'

/**
 * Validates the decoded content of a fleet file and fills in defaults (see `fleetFileSchema`).
 *
 * @param content - plain objects and arrays from a YAML or JSON parser
 * @returns the complete document, or all problems found
 *
 * @public
 */
export function validateFleet(content: unknown): FleetParseResult {
	const parsed = fleetFileSchema.safeParse(content)
	if (!parsed.success) return { type: 'invalid', problems: getSchemaProblems(parsed.error) }
	const problems = getFleetProblems(parsed.data)
	if (problems.length > 0) return { type: 'invalid', problems }
	return { type: 'valid', fleet: parsed.data }
}
