import { readFileSync } from 'node:fs'
import { Agent } from 'undici'
import type { CliContext } from '../CliContext.js'
import { CliError } from '../CliError.js'
import type { GlobalOptions } from './GlobalOptions.js'
import { OperatorClient } from './OperatorClient.js'

const MILLISECONDS_PER_SECOND = 1_000

/**
 * Creates a client from command line options and environment variables; options take precedence.
 *
 * @param access - whether the daemon's port requires an operator token
 * @internal
 */
export function createClient(
	options: GlobalOptions,
	context: CliContext,
	access: 'with-token' | 'open' = 'with-token'
): OperatorClient {
	const { MASTICHEAD_SERVERS, MASTICHEAD_TOKEN, MASTICHEAD_CERTIFICATE_AUTHORITY } =
		context.environment
	const servers = options.server ?? (MASTICHEAD_SERVERS ?? '').split(/[\s,]+/).filter(Boolean)
	const token = options.token ?? MASTICHEAD_TOKEN ?? ''
	if (servers.length === 0)
		throw new CliError(2, 'no daemon given: use --server or MASTICHEAD_SERVERS')
	if (access === 'with-token' && token === '')
		throw new CliError(2, 'no operator token given: use MASTICHEAD_TOKEN or --token')
	for (const server of servers) {
		if (!/^https?:\/\//.test(server) || !URL.canParse(server)) {
			throw new CliError(2, `not an HTTP or HTTPS URL: ${server}`)
		}
	}
	const certificateAuthorityFile = options.certificateAuthority ?? MASTICHEAD_CERTIFICATE_AUTHORITY
	return new OperatorClient({
		servers,
		token,
		timeout: options.timeout * MILLISECONDS_PER_SECOND,
		dispatcher: createDispatcher(certificateAuthorityFile),
	})
}

function createDispatcher(certificateAuthorityFile: string | undefined): Agent {
	if (certificateAuthorityFile === undefined) return new Agent()
	try {
		return new Agent({ connect: { ca: readFileSync(certificateAuthorityFile, 'utf8') } })
	} catch (error) {
		throw new CliError(
			2,
			`${certificateAuthorityFile}: ${error instanceof Error ? error.message : String(error)}`
		)
	}
}
