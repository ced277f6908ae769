import { formatFleetDiff } from '@mastichead/core'
import { type Command, InvalidArgumentError } from 'commander'
import { stringify } from 'yaml'
import { createClient } from '../client/createClient.js'
import type { GlobalOptions } from '../client/GlobalOptions.js'
import type { CliContext } from '../CliContext.js'
import type { FleetResponse } from './FleetResponse.js'
import { readFleetFile } from './readFleetFile.js'
import { writeResult } from './writeResult.js'

interface ApplyOptions {
	readonly base?: number
	readonly proposalId?: string
}

/**
 * Adds the commands for the fleet document: `validate`, `apply`, `diff` and `get`.
 *
 * @internal
 */
export function addFleetCommands(program: Command, context: CliContext): void {
	program
		.command('validate <file>')
		.description('check a fleet file without sending it')
		.action((file: string, _options: object, command: Command) => {
			const fleet = readFleetFile(file)
			writeResult(
				context,
				command.optsWithGlobals<GlobalOptions>(),
				{ valid: true },
				`${file}: ${fleet.name} is valid`
			)
		})

	program
		.command('apply <file>')
		.description('replace the fleet document as a whole')
		.option(
			'--base <version>',
			'version that it replaces (default: the one in force)',
			parseVersion
		)
		.option('--proposal-id <id>', 'id of an earlier apply whose outcome is unknown')
		.action((file: string, _options: object, command: Command) =>
			applyFleetFile(context, file, command)
		)

	program
		.command('diff <file>')
		.description('show what applying a fleet file would change')
		.action((file: string, _options: object, command: Command) =>
			diffFleetFile(context, file, command)
		)

	program
		.command('get')
		.description('print the fleet document in force')
		.action(async (_options: object, command: Command) => {
			const options = command.optsWithGlobals<GlobalOptions>()
			const answer = (await createClient(options, context).get('/v1/fleet')) as FleetResponse
			const text = `# version ${answer.version}\n${stringify(answer.fleet)}`
			writeResult(context, options, answer, text)
		})
}

async function applyFleetFile(context: CliContext, file: string, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions & ApplyOptions>()
	const fleet = readFleetFile(file)
	const client = createClient(options, context)
	const base = options.base ?? ((await client.get('/v1/fleet')) as FleetResponse).version
	const result = await client.sendChange({
		method: 'PUT',
		path: '/v1/fleet',
		body: { base, fleet },
		proposalId: options.proposalId,
		getRecoveryHint: (id) => `To settle it, repeat with --base ${base} --proposal-id ${id}`,
	})
	const { version } = result as { readonly version: number }
	writeResult(context, options, result, `${fleet.name} is in force as version ${version}`)
}

async function diffFleetFile(context: CliContext, file: string, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions>()
	const fleet = readFleetFile(file)
	const answer = (await createClient(options, context).get('/v1/fleet')) as FleetResponse
	const changes = formatFleetDiff(answer.fleet, fleet)
	const text = changes.length === 0 ? 'no difference' : changes.join('\n')
	writeResult(context, options, { base: answer.version, changes }, text)
}

function parseVersion(text: string): number {
	const version = Number(text)
	if (Number.isInteger(version) && version >= 0) return version
	throw new InvalidArgumentError('It must be a whole number, 0 or more.')
}
