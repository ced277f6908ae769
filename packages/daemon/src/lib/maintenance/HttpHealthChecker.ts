import type { BackendServer, Milliseconds } from '@mastichead/core'
import { Agent, request } from 'undici'
import { HealthChecker } from './HealthChecker.js'

const DEFAULT_PATH = '/healthz'
const DEFAULT_TIMEOUT_MILLISECONDS = 2000
const STATUS_OK = 200

/** Time for which a connection is kept open for the next check. */
const KEEP_ALIVE_MILLISECONDS = 4000

/**
 * Checks health over HTTP on one connection to each backend server, kept open between checks. A
 * check that fails or times out destroys the connection, so that the next check opens a new one.
 *
 * @public
 */
export class HttpHealthChecker extends HealthChecker {
	private readonly path: string
	private readonly timeout: Milliseconds
	private readonly agent: Agent

	/** @param options - `path`: `/healthz` by default; `timeout`: 2 s by default */
	constructor(options: { readonly path?: string; readonly timeout?: Milliseconds } = {}) {
		super()
		this.path = options.path ?? DEFAULT_PATH
		this.timeout = options.timeout ?? DEFAULT_TIMEOUT_MILLISECONDS
		this.agent = new Agent({
			connections: 1,
			connect: { timeout: this.timeout },
			keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
		})
	}

	override async check({ address }: BackendServer): Promise<boolean> {
		try {
			const signal = AbortSignal.timeout(this.timeout)
			const { statusCode, body } = await request(`http://${address}${this.path}`, {
				dispatcher: this.agent,
				signal,
			})
			await body.dump()
			return statusCode === STATUS_OK
		} catch {
			return false
		}
	}

	override close(): void {
		void this.agent.destroy()
	}
}
