import type { BackendServerId, MaintenanceProgress, WaveId } from '@mastichead/core'
import { Agent, request } from 'undici'
import { z } from 'zod'
import { MaintenancePlatform } from './MaintenancePlatform.js'

const TIMEOUT_MILLISECONDS = 2000
const STATUS_OK = 200

const answerSchema = z.object({
	wave: z.string(),
	state: z.enum(['none', 'running', 'done', 'failed']),
})

interface Options {
	/** Addresses of the platform; a call that got no answer moves on to the next one. */
	readonly urls: readonly string[]
	/** Name that calls are sent under. */
	readonly instance: string
}

/**
 * Maintenance over HTTP: `POST /instances/<name>/maintenance` with `{"wave": "<id>"}` asks for it,
 * and `GET` answers `{"wave": "<id>", "state": "none" | "running" | "done" | "failed"}` for the
 * wave asked for last.
 *
 * @public
 */
export class HttpMaintenancePlatform extends MaintenancePlatform {
	private url = 0
	private agent = createAgent()

	constructor(private readonly options: Options) {
		super()
	}

	override async start(wave: WaveId, server: BackendServerId): Promise<void> {
		await this.call('POST', server, JSON.stringify({ wave }))
	}

	override async getProgress(wave: WaveId, server: BackendServerId): Promise<MaintenanceProgress> {
		const answer = await this.call('GET', server)
		if (!answer) return 'unknown'
		if (answer.wave !== wave || answer.state === 'none') return 'absent'
		return answer.state
	}

	private async call(method: 'GET' | 'POST', server: BackendServerId, content?: string) {
		const { urls, instance } = this.options
		const base = urls[this.url % urls.length] ?? ''
		try {
			const path = `/instances/${encodeURIComponent(server)}/maintenance`
			const { statusCode, body } = await request(`${base}${path}`, {
				method,
				body: content ?? null,
				headers: { 'content-type': 'application/json', 'mastichead-instance': instance },
				dispatcher: this.agent,
				signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
			})
			const json = await body.json()
			return statusCode === STATUS_OK ? answerSchema.parse(json) : undefined
		} catch {
			this.retire()
			return undefined
		}
	}

	/** A connection that missed a deadline is not used again. */
	private retire(): void {
		this.url += 1
		void this.agent.destroy()
		this.agent = createAgent()
	}
}

function createAgent(): Agent {
	return new Agent({ connections: 2, connect: { timeout: TIMEOUT_MILLISECONDS } })
}
