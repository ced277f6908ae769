import { runSearches } from './runSearches.js'

const isGood = runSearches((line) => process.stdout.write(`${line}\n`))
process.exitCode = isGood ? 0 : 1
