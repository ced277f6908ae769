import { tmpdir } from 'node:os'
import path from 'node:path'
import { Command, InvalidArgumentError } from 'commander'
import { runSoak } from './lib/runSoak.js'

const MILLISECONDS_PER_SECOND = 1_000
const SECONDS_PER_MINUTE = 60

interface Flags {
	readonly seed: number
	readonly seeds: number
	readonly minutes: number
	readonly instances: number
	readonly servers: number
	readonly interval: number
	readonly network: number
	readonly folder: string
}

const command = new Command('soak')
	.description('Runs daemons under random faults and checks what callers and backend servers see.')
	.option('--seed <n>', 'first seed', parseNumber, 1)
	.option('--seeds <n>', 'number of seeds, one after the other', parseNumber, 1)
	.option('--minutes <n>', 'time of traffic and faults for each seed', parseNumber, 0.5)
	.option('--instances <n>', 'number of daemons', parseNumber, 6)
	.option('--servers <n>', 'number of backend servers', parseNumber, 6)
	.option('--interval <ms>', 'time between two submissions', parseNumber, 150)
	.option('--network <n>', 'uses the addresses 127.0.N.x', parseNumber, 9)
	.option('--folder <path>', 'folder for settings', path.join(tmpdir(), 'mastichead-soak'))

command.parse()
const flags = command.opts<Flags>()
console.log(`settings ${JSON.stringify(flags)}`)
for (let seed = flags.seed; seed < flags.seed + flags.seeds; seed += 1) {
	const startedAt = Date.now()
	const report = await runSoak({
		seed,
		duration: flags.minutes * SECONDS_PER_MINUTE * MILLISECONDS_PER_SECOND,
		instances: flags.instances,
		servers: flags.servers,
		submissionInterval: flags.interval,
		network: flags.network,
		program: path.resolve('platform/dist/main.js'),
		folder: path.join(flags.folder, `${flags.network}-${seed}`),
	})
	const { problems, jobs, accepted, runs, faults } = report
	const seconds = Math.round((Date.now() - startedAt) / MILLISECONDS_PER_SECOND)
	const verdict = problems.length === 0 ? 'passed' : 'FAILED'
	console.log(
		`seed ${seed}: ${verdict}, ${faults} faults, ${accepted} of ${jobs} jobs accepted, ${runs} runs, ${seconds} s`
	)
	for (const problem of problems) console.log(`  ${problem}`)
	if (problems.length > 0) process.exitCode = 1
}

function parseNumber(text: string): number {
	const value = Number(text)
	if (text.trim() === '' || !Number.isFinite(value) || value < 0)
		throw new InvalidArgumentError('expected a number of 0 or more')
	return value
}
