import type { ExitCode } from './ExitCode.js'

/**
 * An error that ends a command with a message for the user and an exit code.
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
