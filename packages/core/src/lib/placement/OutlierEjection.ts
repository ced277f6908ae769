import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'

/** Failures in a row that eject a backend server. */
const DEFAULT_FAILURE_LIMIT = 5

/** Failures in a row that eject it when a peer has ejected it. */
const PEER_FAILURE_LIMIT = 2

/** First ejection, in milliseconds; each further one is twice as long. */
const DEFAULT_BASE_EJECTION = 5000

/** Longest ejection, in milliseconds. */
const MAXIMUM_EJECTION = 300_000

/** Part of a pool that may be ejected at once. */
const DEFAULT_MAXIMUM_FRACTION = 0.5

/** Probes in a row that must succeed before a backend server is used again. */
const REQUIRED_PROBE_SUCCESSES = 3

/**
 * Options of {@link OutlierEjection}.
 *
 * @internal
 */
interface Options {
	readonly timers: TimerService
	/** Failures in a row that eject (default 5). */
	readonly failureLimit?: number
	/** First ejection in milliseconds (default 5 s). */
	readonly baseEjection?: Milliseconds
	/** Part of a pool that may be ejected at once, in [0, 1] (default 0.5). */
	readonly maximumFraction?: number
}

interface ServerHealth {
	pool: PoolId
	/** Failures in a row. */
	consecutiveFailures: number
	/** Ejections without a full return between them. */
	consecutiveEjections: number
	/** Instant from which probes are let through; absent while in use. */
	probeAt: Milliseconds | undefined
	/** Probes in a row that succeeded. */
	probeSuccesses: number
	isProbing: boolean
	peerEjected: boolean
}

/**
 * Takes backend servers that fail request after request out of use, for growing times, and lets
 * single probes through before it uses them again.
 *
 * @public
 */
export class OutlierEjection {
	private readonly rows = new Map<BackendServerId, ServerHealth>()
	private readonly poolSizes = new Map<PoolId, number>()
	private readonly failureLimit: number
	private readonly baseEjection: Milliseconds
	private readonly maximumFraction: number

	constructor(private readonly options: Options) {
		this.failureLimit = options.failureLimit ?? DEFAULT_FAILURE_LIMIT
		this.baseEjection = options.baseEjection ?? DEFAULT_BASE_EJECTION
		this.maximumFraction = options.maximumFraction ?? DEFAULT_MAXIMUM_FRACTION
	}

	/** Sets the backend servers that are in service in a pool. Others of the pool are forgotten. */
	setPool(pool: PoolId, servers: readonly BackendServerId[]): void {
		this.poolSizes.set(pool, servers.length)
		const kept = new Set(servers)
		for (const [name, row] of this.rows) {
			if (row.pool === pool && !kept.has(name)) this.rows.delete(name)
		}
		for (const name of servers) {
			const row = this.rows.get(name)
			if (row) row.pool = pool
			else this.rows.set(name, createRow(pool))
		}
	}

	/** Whether a request may go to the backend server now. */
	isSelectable(server: BackendServerId): boolean {
		const row = this.rows.get(server)
		if (row?.probeAt === undefined) return true
		return !row.isProbing && this.options.timers.now() >= row.probeAt
	}

	/** Whether the backend server is ejected, probes or not; goes into digests. */
	isEjected(server: BackendServerId): boolean {
		return this.rows.get(server)?.probeAt !== undefined
	}

	/** Notes that a request was sent to the backend server. Returns whether it is a probe. */
	recordStart(server: BackendServerId): boolean {
		const row = this.rows.get(server)
		if (row?.probeAt === undefined) return false
		row.isProbing = true
		return true
	}

	/**
	 * Notes how a request at the backend server ended.
	 *
	 * @param end - `result`: `neutral` says nothing about the server, as when the caller went away;
	 * `probe`: what `noteStart` returned
	 */
	recordEnd(
		server: BackendServerId,
		end: { readonly result: 'success' | 'failure' | 'neutral'; readonly probe: boolean }
	): void {
		const row = this.rows.get(server)
		if (!row) return
		if (end.probe) row.isProbing = false
		if (end.result === 'success') this.recordSuccess(row, end.probe)
		if (end.result === 'failure') this.recordFailure(row, end.probe)
	}

	/** Notes whether any peer has the backend server ejected. */
	setPeerEjected(server: BackendServerId, ejected: boolean): void {
		const row = this.rows.get(server)
		if (row) row.peerEjected = ejected
	}

	private recordSuccess(row: ServerHealth, probed: boolean): void {
		row.consecutiveFailures = 0
		if (row.probeAt === undefined || !probed) return
		row.probeSuccesses++
		if (row.probeSuccesses < REQUIRED_PROBE_SUCCESSES) return
		row.probeAt = undefined
		row.probeSuccesses = 0
		row.consecutiveEjections = 0
	}

	private recordFailure(row: ServerHealth, probed: boolean): void {
		row.consecutiveFailures++
		if (row.probeAt !== undefined) {
			if (probed) this.eject(row)
			return
		}
		const limit = row.peerEjected ? PEER_FAILURE_LIMIT : this.failureLimit
		if (row.consecutiveFailures >= limit && this.canEject(row.pool)) this.eject(row)
	}

	private eject(row: ServerHealth): void {
		const duration = Math.min(MAXIMUM_EJECTION, this.baseEjection * 2 ** row.consecutiveEjections)
		row.consecutiveEjections++
		row.probeSuccesses = 0
		row.probeAt = this.options.timers.now() + duration
	}

	private canEject(pool: PoolId): boolean {
		const size = this.poolSizes.get(pool) ?? 0
		let ejected = 0
		for (const row of this.rows.values()) {
			if (row.pool === pool && row.probeAt !== undefined) ejected++
		}
		return ejected + 1 <= Math.floor(size * this.maximumFraction)
	}
}

function createRow(pool: PoolId): ServerHealth {
	return {
		pool,
		consecutiveFailures: 0,
		consecutiveEjections: 0,
		probeAt: undefined,
		probeSuccesses: 0,
		isProbing: false,
		peerEjected: false,
	}
}
