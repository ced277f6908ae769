import type {
	BackendServerId,
	Milliseconds,
	ServerListing,
	Subscription,
	TimerService,
} from '@mastichead/core'
import { Agent, request } from 'undici'
import type { Logger } from 'winston'
import { z } from 'zod'

/** Time between reads of the list. */
const READ_MILLISECONDS = 1000

/** Time that one read may take. */
const TIMEOUT_MILLISECONDS = 900

const answerSchema = z.object({
	instances: z.array(
		z.object({
			name: z.string(),
			kind: z.enum(['entry', 'backend']),
			state: z.enum(['live', 'leaving']),
		})
	),
})

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	/** Addresses of the platform; a read that got no answer moves on to the next one. */
	readonly urls: readonly string[]
	/** Name that reads are sent under. */
	readonly instance: string
	/** Time between reads (default 1 s). */
	readonly interval?: Milliseconds
}

/**
 * Follows the platform's list of instances and tells what it says of backend servers. While the
 * platform does not answer, what it said last holds.
 *
 * @public
 */
export class InstanceListManager {
	/** A new table for each change, so that it can be compared by identity. */
	listings: ReadonlyMap<BackendServerId, ServerListing> = new Map()
	private agent = createAgent()
	private url = 0
	private isReading = false
	private timer: Subscription | undefined

	constructor(private readonly options: Options) {}

	start(): void {
		void this.read()
		this.timer = this.options.timers.every(this.options.interval ?? READ_MILLISECONDS, () => {
			void this.read()
		})
	}

	stop(): void {
		this.timer?.cancel()
		void this.agent.destroy()
	}

	private async read(): Promise<void> {
		if (this.isReading) return
		this.isReading = true
		try {
			this.take(await this.fetch())
		} catch (error) {
			this.options.logger.debug('instance-list-unread', { reason: String(error) })
			this.url++
			void this.agent.destroy()
			this.agent = createAgent()
		} finally {
			this.isReading = false
		}
	}

	private async fetch() {
		const { urls, instance } = this.options
		const { statusCode, body } = await request(`${urls[this.url % urls.length] ?? ''}/instances`, {
			dispatcher: this.agent,
			headers: { 'mastichead-instance': instance },
			signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
		})
		const json = await body.json()
		if (statusCode !== 200) throw new Error(`the platform answered ${statusCode}`)
		return answerSchema.parse(json).instances.filter((row) => row.kind === 'backend')
	}

	/** A list without any backend server says more about the platform than about them. */
	private take(
		rows: readonly { readonly name: BackendServerId; readonly state: 'live' | 'leaving' }[]
	): void {
		if (rows.length === 0) return
		const listings = new Map<BackendServerId, ServerListing>()
		for (const name of this.listings.keys()) listings.set(name, 'removed')
		for (const { name, state } of rows) listings.set(name, state)
		const changed = [...listings].filter(([name, listing]) => this.listings.get(name) !== listing)
		if (changed.length === 0) return
		for (const [server, listing] of changed) {
			this.options.logger.info('server-listed', { server, listing })
		}
		this.listings = listings
	}
}

function createAgent(): Agent {
	return new Agent({ connections: 1, connect: { timeout: TIMEOUT_MILLISECONDS } })
}
