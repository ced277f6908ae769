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
 * Problems of a failed schema check, one for each place; each unknown key is named by its own path.
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
