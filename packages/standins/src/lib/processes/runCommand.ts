import { execFile } from 'node:child_process'
import { programs } from './programs.js'

/**
 * Result of one run of `mastichead`.
 *
 * @internal
 */
interface CommandResult {
	readonly code: number
	/** Standard output, followed by standard error. */
	readonly output: string
}

/**
 * Runs `mastichead` against a deployment. Resolves also if the command fails.
 *
 * @param access - URLs of the operators' ports, and the operator token
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
