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

/** Interval between reads of the list. */
const READ_INTERVAL_MILLISECONDS = 1000

/** Timeout of a read. */
const READ_TIMEOUT_MILLISECONDS = 900

const STATUS_OK = 200
const STATUS_NOT_MODIFIED = 304

const responseSchema = z.object({
	instances: z.array(
		z.object({
			name: z.string(),
			kind: z.enum(['entry', 'backend']),
			state: z.enum(['live', 'leaving']),
		})
	),
})

interface ListedServer {
	readonly name: BackendServerId
	readonly state: 'live' | 'leaving'
}

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	/** Base URLs of the platform; a failed read switches to the next one. */
	readonly urls: readonly string[]
	/** Instance name sent with each read. */
	readonly instance: string
	/** Interval between reads (default 1 s). */
	readonly interval?: Milliseconds
}

/**
 * Polls the platform's list of instances and exposes the state of backend servers. While the
 * platform does not respond, the last list applies.
 *
 * @public
 */
export class InstanceListManager {
	/**
	 * State of each backend server in the last list. Replaced by a new map on every change, so that
	 * callers can compare by identity.
	 */
	listings: ReadonlyMap<BackendServerId, ServerListing> = new Map()
	private agent = createAgent()
	private urlIndex = 0
	/** ETag of the last list; empty if there is none. */
	private entityTag = ''
	private isReading = false
	private timer: Subscription | undefined

	constructor(private readonly options: Options) {}

	start(): void {
		void this.refresh()
		this.timer = this.options.timers.every(
			this.options.interval ?? READ_INTERVAL_MILLISECONDS,
			() => {
				void this.refresh()
			}
		)
	}

	stop(): void {
		this.timer?.cancel()
		void this.agent.destroy()
	}

	private async refresh(): Promise<void> {
		if (this.isReading) return
		this.isReading = true
		try {
			const servers = await this.fetchServers()
			if (servers) this.applyServers(servers)
		} catch (error) {
			this.options.logger.debug('instance-list-unread', { reason: String(error) })
			this.urlIndex++
			this.entityTag = ''
			void this.agent.destroy()
			this.agent = createAgent()
		} finally {
			this.isReading = false
		}
	}

	/** Returns the backend servers of the list; undefined if the list has not changed. */
	private async fetchServers(): Promise<readonly ListedServer[] | undefined> {
		const { urls, instance } = this.options
		const url = `${urls[this.urlIndex % urls.length] ?? ''}/instances`
		const { statusCode, headers, body } = await request(url, {
			dispatcher: this.agent,
			headers: { 'mastichead-instance': instance, 'if-none-match': this.entityTag },
			signal: AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS),
		})
		if (statusCode === STATUS_NOT_MODIFIED) {
			await body.dump()
			return undefined
		}
		const json = await body.json()
		if (statusCode !== STATUS_OK) throw new Error(`the platform returned ${statusCode}`)
		const servers = responseSchema.parse(json).instances.filter((row) => row.kind === 'backend')
		this.entityTag = typeof headers.etag === 'string' ? headers.etag : ''
		return servers
	}

	/** Applies a list. One without backend servers is ignored as a probable fault of the platform. */
	private applyServers(servers: readonly ListedServer[]): void {
		if (servers.length === 0) return
		const listings = new Map<BackendServerId, ServerListing>()
		for (const name of this.listings.keys()) listings.set(name, 'removed')
		for (const { name, state } of servers) listings.set(name, state)
		const changed = [...listings].filter(([name, listing]) => this.listings.get(name) !== listing)
		if (changed.length === 0) return
		for (const [server, listing] of changed) {
			this.options.logger.info('server-listed', { server, listing })
		}
		this.listings = listings
	}
}

function createAgent(): Agent {
	return new Agent({ connections: 1, connect: { timeout: READ_TIMEOUT_MILLISECONDS } })
}
