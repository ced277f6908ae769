import type { ExitCode } from './ExitCode.js'

/**
 * Ends a command with a message and an exit code.
 *
 * @internal
 */
export class CliError extends Error {
	constructor(
		readonly exitCode: ExitCode,
		message: string
	) {
		super(message)
	}
}
