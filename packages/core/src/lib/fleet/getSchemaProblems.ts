import type { z } from 'zod'
import type { FleetProblem } from './FleetProblem.js'

function formatPath(path: readonly PropertyKey[]): string {
	let text = ''
	for (const part of path) {
		if (typeof part === 'number') text += `[${part}]`
		else text += text === '' ? String(part) : `.${String(part)}`
	}
	return text
}

/**
 * Converts the issues of a schema error into fleet problems, with one problem per unknown key.
 *
 * @internal
 */
export function getSchemaProblems(error: z.ZodError): readonly FleetProblem[] {
	const problems: FleetProblem[] = []
	for (const issue of error.issues) {
		if (issue.code !== 'unrecognized_keys') {
			problems.push({ path: formatPath(issue.path), message: issue.message })
			continue
		}
		for (const key of issue.keys) {
			problems.push({ path: formatPath([...issue.path, key]), message: 'unknown key' })
		}
	}
	return problems
}
