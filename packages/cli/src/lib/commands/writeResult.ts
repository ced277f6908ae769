import type { GlobalOptions } from '../client/GlobalOptions.js'
import type { CliContext } from '../CliContext.js'

/**
 * Writes the result of a command in the format of the option `--output`.
 *
 * @param result - written as JSON
 * @param text - written as text, with a line break added if it has none
 * @internal
 */
export function writeResult(
	context: CliContext,
	options: GlobalOptions,
	result: unknown,
	text: string
): void {
	if (options.output === 'json') context.writeOutput(`${JSON.stringify(result, undefined, 2)}\n`)
	else context.writeOutput(text.endsWith('\n') || text === '' ? text : `${text}\n`)
}
