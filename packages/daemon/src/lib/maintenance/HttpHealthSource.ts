import type { BackendServer, Milliseconds } from '@mastichead/core'
import { Agent, request } from 'undici'
import { HealthSource } from './HealthSource.js'

const DEFAULT_PATH = '/healthz'
const DEFAULT_TIMEOUT_MILLISECONDS = 2000
const STATUS_OK = 200

/**
 * Health checks over HTTP. Each opens a connection of its own, so that it also finds out whether
 * new ones work, and holds none of those that a backend server has between checks.
 *
 * @public
 */
export class HttpHealthSource extends HealthSource {
	private readonly path: string
	private readonly timeout: Milliseconds

	/** @param options - `path`: `/healthz` by default; `timeout`: 2 s by default */
	constructor(options: { readonly path?: string; readonly timeout?: Milliseconds } = {}) {
		super()
		this.path = options.path ?? DEFAULT_PATH
		this.timeout = options.timeout ?? DEFAULT_TIMEOUT_MILLISECONDS
	}

	override async check({ address }: BackendServer): Promise<boolean> {
		const dispatcher = new Agent({ connections: 1, connect: { timeout: this.timeout } })
		try {
			const signal = AbortSignal.timeout(this.timeout)
			const { statusCode, body } = await request(`http://${address}${this.path}`, {
				dispatcher,
				signal,
			})
			await body.dump()
			return statusCode === STATUS_OK
		} catch {
			return false
		} finally {
			void dispatcher.destroy()
		}
	}
}
