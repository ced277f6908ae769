import { readFileSync } from 'node:fs'
import { type Fleet, formatFleetProblem, parseFleet } from '@mastichead/core'
import { CliError } from '../CliError.js'

/**
 * Reads and validates a fleet file. Throws a `CliError` if the file is unreadable or invalid.
 *
 * @internal
 */
export function readFleetFile(file: string): Fleet {
	const parsed = parseFleet(readText(file))
	if (parsed.type === 'valid') return parsed.fleet
	const lines = parsed.problems.map((problem) => `${file}: ${formatFleetProblem(problem)}`)
	throw new CliError(1, lines.join('\n'))
}

function readText(file: string): string {
	try {
		return readFileSync(file, 'utf8')
	} catch (error) {
		throw new CliError(2, `${file}: ${error instanceof Error ? error.message : String(error)}`)
	}
}
