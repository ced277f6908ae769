import type { JobReport } from '@mastichead/core'
import type { Command } from 'commander'
import { createClient } from '../client/createClient.js'
import type { GlobalOptions } from '../client/GlobalOptions.js'
import type { CliContext } from '../CliContext.js'
import { CliError } from '../CliError.js'
import { formatJobReport } from '../output/formatJobReport.js'
import { writeResult } from './writeResult.js'

/**
 * Adds the command `explain`, which asks the daemons of the job path about one job.
 *
 * @internal
 */
export function addJobCommands(program: Command, context: CliContext): void {
	program
		.command('explain')
		.argument('<job>', 'id of the job')
		.description('show the state of a job and why its tasks wait; --server takes metrics addresses')
		.action((job: string, _options: object, command: Command) => explainJob(context, job, command))
}

/** Prefers the owner's report, which alone has the steps; otherwise any report will do. */
async function explainJob(context: CliContext, job: string, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions>()
	const client = createClient(options, context, 'open')
	const { bodies, failures } = await client.getAll(`/explain/${encodeURIComponent(job)}`)
	const reports = bodies as readonly JobReport[]
	const known = reports.filter(({ state }) => state !== undefined)
	const report = known.find(({ owner }) => owner) ?? known[0]
	if (!report) throw new CliError(1, `no instance that answered knows of job ${job}`)
	writeResult(context, options, { report, unanswered: failures }, formatJobReport(report, failures))
}
