import { runSearches } from './runSearches.js'

const hasPassed = runSearches((line) => process.stdout.write(`${line}\n`))
process.exitCode = hasPassed ? 0 : 1
