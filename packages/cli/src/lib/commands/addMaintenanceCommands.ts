import type { MoveStatus, WaveStatus } from '@mastichead/core'
import { type Command, InvalidArgumentError } from 'commander'
import { createClient } from '../client/createClient.js'
import type { GlobalOptions } from '../client/GlobalOptions.js'
import type { CliContext } from '../CliContext.js'
import { formatTable } from '../output/formatTable.js'
import { writeResult } from './writeResult.js'

interface WaveOptions {
	readonly parallelism: number
	readonly failureLimit: number
}

interface WaveDetail extends WaveStatus {
	readonly backendServers: Readonly<Record<string, string>>
}

/**
 * Adds the commands for maintenance: `drain`, `waves` and `moves`.
 *
 * @internal
 */
export function addMaintenanceCommands(program: Command, context: CliContext): void {
	program
		.command('drain <backend-server>')
		.description('take a backend server out of service for new work')
		.option('--undo', 'put it back into service')
		.option('--override', 'drain it although the availability budget does not allow it')
		.action((name: string, _options: object, command: Command) =>
			setDrained(context, name, command)
		)

	const waves = program.command('waves').description('create, show and control maintenance waves')
	waves
		.command('create <wave> <backend-servers...>')
		.description('start a wave over backend servers, in the order given')
		.option('--parallelism <count>', 'backend servers out of service at once', parseCount, 1)
		.option(
			'--failure-limit <count>',
			'failures that the wave tolerates before it pauses',
			parseCount,
			0
		)
		.action((wave: string, backendServers: string[], _options: object, command: Command) =>
			createWave(context, wave, backendServers, command)
		)
	waves
		.command('list')
		.description('list waves and what each waits for')
		.action((_options: object, command: Command) => listWaves(context, command))
	waves
		.command('show <wave>')
		.description('show each step of a wave')
		.action((wave: string, _options: object, command: Command) => showWave(context, wave, command))
	for (const action of ['pause', 'resume', 'abort'] as const) {
		const subcommand = waves.command(`${action} <wave>`).description(`${action} a wave`)
		if (action === 'pause') subcommand.option('--reason <text>', 'reason, shown to other operators')
		subcommand.action((wave: string, _options: object, command: Command) =>
			runWaveAction(context, wave, action, command)
		)
	}

	const moves = program.command('moves').description('moves of backend servers between pools')
	moves
		.command('list')
		.description('list moves that are under way')
		.action((_options: object, command: Command) => listMoves(context, command))
}

async function setDrained(context: CliContext, name: string, command: Command): Promise<void> {
	const options = command.optsWithGlobals<
		GlobalOptions & { readonly undo?: true; readonly override?: true }
	>()
	const path = `/v1/backend-servers/${encodeURIComponent(name)}/drain`
	const method = options.undo ? 'DELETE' : 'PUT'
	const body = options.override ? { override: true } : {}
	const result = await createClient(options, context).sendChange({ method, path, body })
	const text = options.undo ? `${name} is back in service` : `${name} gets no new work`
	writeResult(context, options, result, text)
}

async function createWave(
	context: CliContext,
	wave: string,
	backendServers: readonly string[],
	command: Command
): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions & WaveOptions>()
	const { parallelism, failureLimit } = options
	const body = { wave, backendServers, parallelism, failureLimit }
	const result = await createClient(options, context).sendChange({
		method: 'POST',
		path: '/v1/waves',
		body,
	})
	const text = `wave ${wave} runs over ${backendServers.length} backend servers`
	writeResult(context, options, result, text)
}

async function listWaves(context: CliContext, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions>()
	const answer = await createClient(options, context).get('/v1/waves')
	const { waves } = answer as { readonly waves: readonly WaveStatus[] }
	const rows = waves.map((wave) => [
		wave.wave,
		wave.state,
		wave.steps.done,
		wave.steps.failed,
		wave.out.length,
		wave.steps.waiting,
		wave.next ? `${wave.next.backendServer}: ${wave.next.waitsFor}` : '-',
	])
	const headings = ['WAVE', 'STATE', 'DONE', 'FAILED', 'OUT', 'WAITING', 'NEXT WAITS FOR']
	writeResult(context, options, answer, formatTable(headings, rows))
}

async function showWave(context: CliContext, wave: string, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions>()
	const path = `/v1/waves/${encodeURIComponent(wave)}`
	const detail = (await createClient(options, context).get(path)) as WaveDetail
	const lines = [
		`wave ${detail.wave} is ${detail.state}${detail.reason && `: ${detail.reason}`}\n`,
		detail.next ? `next ${detail.next.backendServer}: ${detail.next.waitsFor}\n` : '',
		formatTable(['BACKEND SERVER', 'STEP'], Object.entries(detail.backendServers)),
	]
	writeResult(context, options, detail, lines.join(''))
}

async function runWaveAction(
	context: CliContext,
	wave: string,
	action: 'pause' | 'resume' | 'abort',
	command: Command
): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions & { readonly reason?: string }>()
	const path = `/v1/waves/${encodeURIComponent(wave)}/${action}`
	const body = { reason: options.reason }
	const result = await createClient(options, context).sendChange({ method: 'POST', path, body })
	writeResult(context, options, result, `${action} of wave ${wave} is accepted`)
}

async function listMoves(context: CliContext, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions>()
	const answer = await createClient(options, context).get('/v1/moves')
	const { moves } = answer as { readonly moves: readonly MoveStatus[] }
	const rows = moves.map((move) => [move.backendServer, move.from, move.to, move.step])
	writeResult(context, options, answer, formatTable(['BACKEND SERVER', 'FROM', 'TO', 'STEP'], rows))
}

function parseCount(text: string): number {
	const value = Number(text)
	if (Number.isInteger(value) && value >= 0) return value
	throw new InvalidArgumentError('It must be a whole number, 0 or more.')
}
