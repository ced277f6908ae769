import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'

/** Consecutive failures that eject a backend server. */
const DEFAULT_FAILURE_LIMIT = 5

/** Consecutive failures that eject a backend server that a peer has ejected. */
const PEER_FAILURE_LIMIT = 2

/** Duration of the first ejection, in milliseconds; it doubles with each further ejection. */
const DEFAULT_BASE_EJECTION = 5000

/** Maximum duration of an ejection, in milliseconds. */
const MAXIMUM_EJECTION = 300_000

/** Maximum fraction of a pool that may be ejected at once. */
const DEFAULT_MAXIMUM_FRACTION = 0.5

/** Consecutive probes that must succeed before a backend server is used again. */
const REQUIRED_PROBE_SUCCESSES = 3

/**
 * Options of {@link OutlierEjection}.
 *
 * @internal
 */
interface Options {
	readonly timers: TimerService
	/** Consecutive failures that eject a backend server (default 5). */
	readonly failureLimit?: number
	/** Duration of the first ejection, in milliseconds (default 5 s). */
	readonly baseEjection?: Milliseconds
	/** Maximum fraction of a pool that may be ejected at once, in [0, 1] (default 0.5). */
	readonly maximumFraction?: number
}

interface ServerHealth {
	pool: PoolId
	consecutiveFailures: number
	/** Ejections since the server was last fully in use. */
	consecutiveEjections: number
	/** Time from which probes are allowed; undefined unless the server is ejected. */
	probeAt: Milliseconds | undefined
	/** Consecutive successful probes. */
	probeSuccesses: number
	isProbing: boolean
	/** Whether any peer has ejected the server. */
	peerEjected: boolean
}

/**
 * Ejects backend servers after consecutive failures, for a growing time, and sends them single probe
 * requests before it uses them again.
 *
 * @public
 */
export class OutlierEjection {
	private readonly healthByServer = new Map<BackendServerId, ServerHealth>()
	private readonly poolSizes = new Map<PoolId, number>()
	private readonly failureLimit: number
	private readonly baseEjection: Milliseconds
	private readonly maximumFraction: number

	constructor(private readonly options: Options) {
		this.failureLimit = options.failureLimit ?? DEFAULT_FAILURE_LIMIT
		this.baseEjection = options.baseEjection ?? DEFAULT_BASE_EJECTION
		this.maximumFraction = options.maximumFraction ?? DEFAULT_MAXIMUM_FRACTION
	}

	/** Sets the backend servers in service in a pool and drops the state of the pool's other servers. */
	setPool(pool: PoolId, servers: readonly BackendServerId[]): void {
		this.poolSizes.set(pool, servers.length)
		const serverNames = new Set(servers)
		for (const [name, health] of this.healthByServer) {
			if (health.pool === pool && !serverNames.has(name)) this.healthByServer.delete(name)
		}
		for (const name of servers) {
			const health = this.healthByServer.get(name)
			if (health) health.pool = pool
			else this.healthByServer.set(name, createServerHealth(pool))
		}
	}

	/** Whether a request may be sent to the backend server now. */
	isSelectable(server: BackendServerId): boolean {
		const health = this.healthByServer.get(server)
		if (health?.probeAt === undefined) return true
		return !health.isProbing && this.options.timers.now() >= health.probeAt
	}

	/** Whether the backend server is ejected, also while it accepts probes. Reported in digests. */
	isEjected(server: BackendServerId): boolean {
		return this.healthByServer.get(server)?.probeAt !== undefined
	}

	/** Records that a request was sent to the backend server. Returns whether it is a probe. */
	recordStart(server: BackendServerId): boolean {
		const health = this.healthByServer.get(server)
		if (health?.probeAt === undefined) return false
		health.isProbing = true
		return true
	}

	/**
	 * Records the result of a request to the backend server.
	 *
	 * @param end - `result`: `neutral` does not count, for example if the caller disconnected; `probe`:
	 * the value that `recordStart` returned
	 */
	recordEnd(
		server: BackendServerId,
		end: { readonly result: 'success' | 'failure' | 'neutral'; readonly probe: boolean }
	): void {
		const health = this.healthByServer.get(server)
		if (!health) return
		if (end.probe) health.isProbing = false
		if (end.result === 'success') this.recordSuccess(health, end.probe)
		if (end.result === 'failure') this.recordFailure(health, end.probe)
	}

	/** Sets whether any peer has ejected the backend server. */
	setPeerEjected(server: BackendServerId, ejected: boolean): void {
		const health = this.healthByServer.get(server)
		if (health) health.peerEjected = ejected
	}

	private recordSuccess(health: ServerHealth, isProbe: boolean): void {
		health.consecutiveFailures = 0
		if (health.probeAt === undefined || !isProbe) return
		health.probeSuccesses++
		if (health.probeSuccesses < REQUIRED_PROBE_SUCCESSES) return
		health.probeAt = undefined
		health.probeSuccesses = 0
		health.consecutiveEjections = 0
	}

	private recordFailure(health: ServerHealth, isProbe: boolean): void {
		health.consecutiveFailures++
		if (health.probeAt !== undefined) {
			if (isProbe) this.eject(health)
			return
		}
		const limit = health.peerEjected ? PEER_FAILURE_LIMIT : this.failureLimit
		if (health.consecutiveFailures >= limit && this.canEject(health.pool)) this.eject(health)
	}

	private eject(health: ServerHealth): void {
		const duration = Math.min(
			MAXIMUM_EJECTION,
			this.baseEjection * 2 ** health.consecutiveEjections
		)
		health.consecutiveEjections++
		health.probeSuccesses = 0
		health.probeAt = this.options.timers.now() + duration
	}

	private canEject(pool: PoolId): boolean {
		const size = this.poolSizes.get(pool) ?? 0
		let ejected = 0
		for (const health of this.healthByServer.values()) {
			if (health.pool === pool && health.probeAt !== undefined) ejected++
		}
		return ejected + 1 <= Math.floor(size * this.maximumFraction)
	}
}

function createServerHealth(pool: PoolId): ServerHealth {
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
