import { type HistogramReport, mergeStatusReports, type StatusReport } from '@mastichead/core'
import { type Command, InvalidArgumentError } from 'commander'
import { createClient } from '../client/createClient.js'
import type { OperatorClient } from '../client/OperatorClient.js'
import type { GlobalOptions } from '../client/GlobalOptions.js'
import type { CliContext } from '../CliContext.js'
import { formatHistograms } from '../output/formatHistograms.js'
import { formatStatus } from '../output/formatStatus.js'
import { mergeHistogramRows } from '../output/mergeHistogramRows.js'
import { writeResult } from './writeResult.js'

const MILLISECONDS_PER_SECOND = 1_000
const DEFAULT_INTERVAL_SECONDS = 2
const CLEAR_SCREEN = '\u001b[2J\u001b[H'

interface StatusOptions {
	readonly watch?: true
	readonly interval: number
}

/**
 * Adds the commands that merge reports of all daemons: `status` and `histograms`.
 *
 * @internal
 */
export function addReportCommands(program: Command, context: CliContext): void {
	program
		.command('status')
		.description('show the fleet: zones, daemons, teams, pools, waves, and what is wrong')
		.option('--watch', 'refresh until interrupted')
		.option(
			'--interval <seconds>',
			'time between refreshes of --watch',
			parseSeconds,
			DEFAULT_INTERVAL_SECONDS
		)
		.action((_options: object, command: Command) => showStatus(context, command))

	program
		.command('histograms')
		.description('show latency percentiles and outcomes per team and queue')
		.action((_options: object, command: Command) => showHistograms(context, command))
}

async function showStatus(context: CliContext, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions & StatusOptions>()
	const client = createClient(options, context)
	if (!options.watch) {
		const { status, unanswered } = await readStatus(client)
		const text = formatStatus(status, unanswered)
		writeResult(context, options, { status, unanswered }, text)
		return
	}
	while (!context.signal.aborted) {
		context.writeOutput(CLEAR_SCREEN + (await readStatusText(client)))
		await waitForNextUpdate(context, options.interval * MILLISECONDS_PER_SECOND)
	}
}

async function readStatus(client: OperatorClient) {
	const { bodies, failures } = await client.getAll('/v1/status')
	const status = mergeStatusReports(bodies as readonly StatusReport[])
	if (!status) throw new Error('no daemon returned a status report')
	return { status, unanswered: failures }
}

/** Returns the status as text, or the error message, so that an error does not end `--watch`. */
async function readStatusText(client: OperatorClient): Promise<string> {
	try {
		const { status, unanswered } = await readStatus(client)
		return formatStatus(status, unanswered)
	} catch (error) {
		return `${error instanceof Error ? error.message : String(error)}\n`
	}
}

/** Resolves after `duration` milliseconds, or earlier when the user interrupts the command. */
function waitForNextUpdate(context: CliContext, duration: number): Promise<void> {
	return new Promise((resolve) => {
		const end = () => {
			timer.cancel()
			context.signal.removeEventListener('abort', end)
			resolve()
		}
		const timer = context.timers.after(duration, end)
		context.signal.addEventListener('abort', end)
	})
}

async function showHistograms(context: CliContext, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions>()
	const { bodies, failures } = await createClient(options, context).getAll('/v1/histograms')
	const reports = bodies as readonly HistogramReport[]
	const teams = mergeHistogramRows(reports.flatMap((report) => report.teams))
	const queues = mergeHistogramRows(reports.flatMap((report) => report.queues))
	const text = [
		`merged over ${reports.length} daemons\n`,
		...failures.map(({ server, reason }) => `! no answer from ${server}: ${reason}\n`),
		`\n${formatHistograms('team', teams)}`,
		`\n${formatHistograms('queue', queues)}`,
	].join('')
	writeResult(context, options, { teams, queues, unanswered: failures }, text)
}

function parseSeconds(text: string): number {
	const value = Number(text)
	if (value > 0) return value
	throw new InvalidArgumentError('It must be a number of seconds greater than 0.')
}
