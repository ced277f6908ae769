import { readFileSync } from 'node:fs'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Deployment, runCommand } from '../../packages/standins/dist/index.js'

const BASE_PORT = 28_300
const START_TIMEOUT_MILLISECONDS = 60_000
const PAGES = [
	'README.md',
	'docs/operators/command-line.md',
	'docs/operators/configuration.md',
	'docs/operators/keys.md',
	'docs/operators/limits-and-shares.md',
	'docs/operators/platform-outage.md',
	'docs/operators/cut-zone.md',
	'docs/operators/replacing-daemons.md',
	'docs/operators/histograms.md',
]

const deployment = new Deployment({
	fleetFile: 'examples/padania.yaml',
	basePort: BASE_PORT,
	daemons: 2,
	pools: [],
})

/** Returns the arguments of each `npx mastichead` command in the shell blocks of a page. */
function getCommands(page: string): string[] {
	const text = readFileSync(page, 'utf8')
	const blocks = [...text.matchAll(/^```sh\n([^]*?)^```/gm)].map(([, block]) => block ?? '')
	return blocks
		.flatMap((block) => block.replaceAll('\\\n', ' ').split('\n'))
		.filter((line) => line.startsWith('npx mastichead '))
		.map((line) => line.slice('npx mastichead '.length))
}

beforeAll(async () => {
	await deployment.start()
	await runCommand(deployment, ['apply', 'examples/padania.yaml'])
}, START_TIMEOUT_MILLISECONDS)

afterAll(async () => {
	expect(await deployment.stop()).toEqual([])
}, START_TIMEOUT_MILLISECONDS)

describe('documented commands', () => {
	it.each(PAGES)('of %s run as written', async (page) => {
		let keyId = ''
		for (const command of getCommands(page)) {
			const args = command.replaceAll('$KEY_ID', keyId).split(' ')
			const { code, output } = await runCommand(deployment, args)
			expect([command, code, output]).toEqual([command, 0, output])
			keyId = /^mh_([0-9a-f]{16})_/.exec(output)?.[1] ?? keyId
		}
	})
})
