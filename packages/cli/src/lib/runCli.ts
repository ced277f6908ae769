import { CommanderError } from 'commander'
import type { CliContext } from './CliContext.js'
import { CliError } from './CliError.js'
import { createProgram } from './createProgram.js'
import type { ExitCode } from './ExitCode.js'

/**
 * Runs one command of `mastichead`.
 *
 * @param args - command line arguments, without the names of the interpreter and the script
 * @returns the exit code
 * @public
 */
export async function runCli(args: readonly string[], context: CliContext): Promise<ExitCode> {
	try {
		await createProgram(context).parseAsync(args, { from: 'user' })
		return 0
	} catch (error) {
		if (error instanceof CommanderError) return error.exitCode === 0 ? 0 : 2
		if (!(error instanceof CliError)) throw error
		context.writeError(`${error.message}\n`)
		return error.exitCode
	}
}
