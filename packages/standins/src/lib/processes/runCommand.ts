import { execFile } from 'node:child_process'
import { programs } from './programs.js'

/**
 * Result of one run of the command line.
 *
 * @internal
 */
interface CommandResult {
	readonly code: number
	readonly output: string
}

/**
 * Runs `mastichead` with the arguments against a deployment.
 *
 * @param access - operators' addresses and credential
 * @public
 */
export function runCommand(
	access: { readonly operatorUrls: readonly string[]; readonly token: string },
	args: readonly string[]
): Promise<CommandResult> {
	const env = {
		...process.env,
		MASTICHEAD_SERVERS: access.operatorUrls.join(','),
		MASTICHEAD_TOKEN: access.token,
	}
	return new Promise((resolve) => {
		const command = [programs.commandLine, ...args]
		execFile(process.execPath, command, { env }, (error, stdout, stderr) => {
			const code = error ? Number(error.code ?? 1) : 0
			resolve({ code, output: stdout + stderr })
		})
	})
}
