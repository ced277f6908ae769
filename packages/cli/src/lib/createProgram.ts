import { Command, InvalidArgumentError, Option } from 'commander'
import type { CliContext } from './CliContext.js'
import { addFleetCommands } from './commands/addFleetCommands.js'
import { addJobCommands } from './commands/addJobCommands.js'
import { addKeyCommands } from './commands/addKeyCommands.js'
import { addMaintenanceCommands } from './commands/addMaintenanceCommands.js'
import { addReportCommands } from './commands/addReportCommands.js'

const DEFAULT_TIMEOUT_SECONDS = 15

const HELP_TEXT = `
Exit codes:
  0  done
  1  refused: rejected, invalid or not found; nothing changed
  2  wrong use of the command line, or a file that cannot be read
  3  no daemon could be reached, or none reached the platform's log; nothing changed
  4  the outcome of a change is unknown; the message says how to settle it
  5  the operator token was refused

Environment:
  MASTICHEAD_SERVERS                URLs of operators' ports, separated by spaces or commas
  MASTICHEAD_TOKEN                  operator token
  MASTICHEAD_CERTIFICATE_AUTHORITY  file with the certificate authority of the daemons

Examples:
  mastichead validate examples/padania.yaml
  mastichead apply examples/padania.yaml --base 0
  mastichead keys issue installers
  mastichead waves create spring quotes-1 quotes-2 quotes-3 --parallelism 1
  mastichead explain 00000000000000a1 --server http://10.0.0.11:7000 --server http://10.0.0.12:7000
  mastichead status --watch --server http://127.0.0.1:21201 --server http://127.0.0.1:21202
`

/**
 * Creates the command line program with all its commands.
 *
 * @internal
 */
export function createProgram(context: CliContext): Command {
	const program = new Command('mastichead')
		.description('Operates a fleet through the daemons of its entry instances.')
		.option(
			'--server <url>',
			"operators' port of a daemon; may be repeated, tried in order",
			addServer
		)
		.option('--token <token>', 'operator token; prefer MASTICHEAD_TOKEN')
		.option('--certificate-authority <file>', 'file with the certificate authority of the daemons')
		.option('--timeout <seconds>', 'timeout for each answer', parseSeconds, DEFAULT_TIMEOUT_SECONDS)
		.addOption(new Option('--output <form>').choices(['text', 'json']).default('text'))
		.addHelpText('after', HELP_TEXT)
	addFleetCommands(program, context)
	addKeyCommands(program, context)
	addMaintenanceCommands(program, context)
	addReportCommands(program, context)
	addJobCommands(program, context)
	configureCommand(program, context)
	return program
}

/**
 * Configures a command and its subcommands. Subcommands inherit only settings made before they were
 * added, so each is configured by itself.
 */
function configureCommand(command: Command, context: CliContext): void {
	command.exitOverride()
	command.configureOutput({ writeOut: context.writeOutput, writeErr: context.writeError })
	for (const subcommand of command.commands) configureCommand(subcommand, context)
}

function addServer(server: string, servers: readonly string[] = []): readonly string[] {
	return [...servers, server]
}

function parseSeconds(text: string): number {
	const value = Number(text)
	if (value > 0) return value
	throw new InvalidArgumentError('It must be a number of seconds greater than 0.')
}
