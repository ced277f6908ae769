import type { FleetParseResult } from './FleetParseResult.js'
import { fleetFileSchema } from './fleetFileSchema.js'
import { getFleetProblems } from './getFleetProblems.js'
import { getSchemaProblems } from './getSchemaProblems.js'

/**
 * Checks the content of a fleet file once it is read, and fills in defaults (see
 * `fleetFileSchema`).
 *
 * @param content - plain objects and arrays, as a YAML or JSON parser gives them
 * @returns the whole document, or every problem found with its path
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
