import { createCallerKey, hashKeySecret, type WithdrawalStatus } from '@mastichead/core'
import type { Command } from 'commander'
import { createClient } from '../client/createClient.js'
import type { GlobalOptions } from '../client/GlobalOptions.js'
import type { CliContext } from '../CliContext.js'
import { formatTable } from '../output/formatTable.js'
import { writeResult } from './writeResult.js'

interface KeyList {
	readonly keys: readonly { readonly id: string; readonly team: string; readonly state: string }[]
}

interface Withdrawal {
	readonly reached: WithdrawalStatus
	readonly reason?: string
}

/**
 * Adds the commands for caller keys: `keys issue`, `keys list` and `keys withdraw`.
 *
 * @internal
 */
export function addKeyCommands(program: Command, context: CliContext): void {
	const keys = program.command('keys').description('issue, list and withdraw caller keys')

	keys
		.command('issue <team>')
		.description('create a key for a team and show it once')
		.action((team: string, _options: object, command: Command) => issueKey(context, team, command))

	keys
		.command('list')
		.description('list keys by id, without their secrets')
		.action(async (_options: object, command: Command) => {
			const options = command.optsWithGlobals<GlobalOptions>()
			const list = (await createClient(options, context).get('/v1/keys')) as KeyList
			const rows = list.keys.map((row) => [row.id, row.team, row.state])
			writeResult(context, options, list, formatTable(['KEY', 'TEAM', 'STATE'], rows))
		})

	keys
		.command('withdraw <id>')
		.description('withdraw a key permanently; reports how far the withdrawal has spread')
		.action((id: string, _options: object, command: Command) => withdrawKey(context, id, command))
}

/** Creates the key locally, so that only its hash is sent and a retry creates no second key. */
async function issueKey(context: CliContext, team: string, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions>()
	const { id, secret, text } = createCallerKey()
	const key = { id, hash: hashKeySecret(secret) }
	await createClient(options, context).sendChange({
		method: 'POST',
		path: '/v1/keys',
		body: { team, key },
		getRecoveryHint: () =>
			`If \`mastichead keys list\` shows key ${id}, withdraw it; issue another.`,
	})
	const message = `${text}\nThis key of team ${team} is not shown again; its id is ${id}.\n`
	writeResult(context, options, { id, team, key: text }, message)
}

async function withdrawKey(context: CliContext, id: string, command: Command): Promise<void> {
	const options = command.optsWithGlobals<GlobalOptions>()
	const client = createClient(options, context)
	const result = (await client.sendChange({
		method: 'DELETE',
		path: `/v1/keys/${encodeURIComponent(id)}`,
		getRecoveryHint: () => 'Repeat the command: withdrawing twice does no harm.',
	})) as Withdrawal
	const text =
		result.reached === 'log'
			? `key ${id} is withdrawn: accepted in the log, in force at every daemon that reads it`
			: `key ${id} is withdrawn at the daemon asked and spreads between peers; ` +
				`the log does not answer yet (${result.reason ?? 'no reason given'}) and is tried on`
	writeResult(context, options, result, text)
}
