import { SystemTimerService } from '@mastichead/core'
import { runCli } from './lib/runCli.js'

const interrupted = new AbortController()
process.once('SIGINT', () => {
	interrupted.abort()
})

const exitCode = await runCli(process.argv.slice(2), {
	environment: process.env,
	timers: new SystemTimerService(),
	writeOutput: (text) => process.stdout.write(text),
	writeError: (text) => process.stderr.write(text),
	signal: interrupted.signal,
})
process.exit(exitCode)
