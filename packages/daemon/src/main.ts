import { Command } from 'commander'
import type { ExitCode } from './lib/ExitCode.js'
import { runDaemon } from './lib/runDaemon.js'
import { formatSettingsError } from './lib/settings/formatSettingsError.js'
import { readSettings } from './lib/settings/readSettings.js'

const HELP = `
Exit codes:
  0  graceful shutdown after SIGTERM or SIGINT, or --check found the settings valid
  1  failed to start, or ended by an error
  2  invalid command line
  3  invalid settings

Examples:
  masticheadd --settings examples/settings/padania-a1.yaml --check
  masticheadd --settings examples/settings/padania-a1.yaml
`

async function run(options: { settings: string; check?: true }): Promise<ExitCode> {
	const result = readSettings(options.settings)
	if (result.type === 'error') {
		process.stderr.write(`${formatSettingsError(options.settings, result.error)}\n`)
		return 3
	}
	if (options.check) {
		process.stdout.write(`${options.settings}: settings are valid\n`)
		return 0
	}
	return runDaemon(result.settings)
}

const program = new Command('masticheadd')
	.description('Runs one entry instance of the fleet.')
	.requiredOption('--settings <file>', 'settings file in YAML')
	.option('--check', 'check the settings and exit')
	.addHelpText('after', HELP)
	.exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : 2))
	.action(async (options: { settings: string; check?: true }) => {
		process.exit(await run(options))
	})

await program.parseAsync()
