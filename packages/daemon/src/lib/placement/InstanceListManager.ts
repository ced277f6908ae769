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

const STATUS_OK = 200
const STATUS_NOT_MODIFIED = 304

const answerSchema = z.object({
	instances: z.array(
		z.object({
			name: z.string(),
			kind: z.enum(['entry', 'backend']),
			state: z.enum(['live', 'leaving']),
		})
	),
})

interface Row {
	readonly name: BackendServerId
	readonly state: 'live' | 'leaving'
}

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
	/** Entity tag of the list that was read last; empty while there is none. */
	private entityTag = ''
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
			const rows = await this.fetch()
			if (rows) this.take(rows)
		} catch (error) {
			this.options.logger.debug('instance-list-unread', { reason: String(error) })
			this.url++
			this.entityTag = ''
			void this.agent.destroy()
			this.agent = createAgent()
		} finally {
			this.isReading = false
		}
	}

	/** Reads the list; undefined when it is as the last read showed it. */
	private async fetch(): Promise<readonly Row[] | undefined> {
		const { urls, instance } = this.options
		const url = `${urls[this.url % urls.length] ?? ''}/instances`
		const { statusCode, headers, body } = await request(url, {
			dispatcher: this.agent,
			headers: { 'mastichead-instance': instance, 'if-none-match': this.entityTag },
			signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
		})
		if (statusCode === STATUS_NOT_MODIFIED) {
			await body.dump()
			return undefined
		}
		const json = await body.json()
		if (statusCode !== STATUS_OK) throw new Error(`the platform answered ${statusCode}`)
		const rows = answerSchema.parse(json).instances.filter((row) => row.kind === 'backend')
		this.entityTag = typeof headers.etag === 'string' ? headers.etag : ''
		return rows
	}

	/** A list without any backend server says more about the platform than about them. */
	private take(rows: readonly Row[]): void {
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
