export { type CliContext } from './lib/CliContext.js'
export { type ExitCode } from './lib/ExitCode.js'
export { runCli } from './lib/runCli.js'
