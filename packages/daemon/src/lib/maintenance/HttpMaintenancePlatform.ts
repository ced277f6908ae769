import type { BackendServerId, MaintenanceProgress, WaveId } from '@mastichead/core'
import { Agent, request } from 'undici'
import { z } from 'zod'
import { MaintenancePlatform } from './MaintenancePlatform.js'

const TIMEOUT_MILLISECONDS = 2000
const STATUS_OK = 200

const responseSchema = z.object({
	wave: z.string(),
	state: z.enum(['none', 'running', 'done', 'failed']),
})

interface Options {
	/** Base URLs of the platform; a failed call switches to the next one. */
	readonly urls: readonly string[]
	/** Instance name sent with each call. */
	readonly instance: string
}

/**
 * Controls maintenance over HTTP. `POST /instances/<name>/maintenance` with `{"wave": "<id>"}`
 * requests it. `GET` on the same path returns the state of the wave requested last:
 * `{"wave": "<id>", "state": "none" | "running" | "done" | "failed"}`.
 *
 * @public
 */
export class HttpMaintenancePlatform extends MaintenancePlatform {
	private urlIndex = 0
	private agent = createAgent()

	constructor(private readonly options: Options) {
		super()
	}

	override async start(wave: WaveId, server: BackendServerId): Promise<void> {
		await this.call('POST', server, JSON.stringify({ wave }))
	}

	override async getProgress(wave: WaveId, server: BackendServerId): Promise<MaintenanceProgress> {
		const status = await this.call('GET', server)
		if (!status) return 'unknown'
		if (status.wave !== wave || status.state === 'none') return 'absent'
		return status.state
	}

	private async call(method: 'GET' | 'POST', server: BackendServerId, content?: string) {
		const { urls, instance } = this.options
		const base = urls[this.urlIndex % urls.length] ?? ''
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
			return statusCode === STATUS_OK ? responseSchema.parse(json) : undefined
		} catch {
			this.failOver()
			return undefined
		}
	}

	/** Switches to the next URL and closes the connections, as a failed one must not be reused. */
	private failOver(): void {
		this.urlIndex += 1
		void this.agent.destroy()
		this.agent = createAgent()
	}
}

function createAgent(): Agent {
	return new Agent({ connections: 2, connect: { timeout: TIMEOUT_MILLISECONDS } })
}
