import {
	type AttemptOutcome,
	type BackendServer,
	type BackendServerId,
	type FleetState,
	getConnectionShare,
	getPlaceableServers,
	type InstanceId,
	type Member,
	OutlierEjection,
	type PlacementCandidate,
	type PlacementPolicy,
	type PoolId,
	type ServerListing,
	ServerSource,
	type TeamId,
	type TimerService,
} from '@mastichead/core'

const SERVER_ERROR_STATUS = 500

interface Options {
	readonly timers: TimerService
	readonly policy: PlacementPolicy
	readonly availabilityZone: string
	readonly instance: InstanceId
	readonly getState: () => FleetState
	/** Requests that the peers run at a backend server, by their digests. */
	readonly getPeerRunning: (server: BackendServerId) => number
	/** What the platform's instance list says of each backend server. */
	readonly getListings: () => ReadonlyMap<BackendServerId, ServerListing>
}

/**
 * Picks backend servers and counts what this daemon runs at each.
 *
 * @public
 */
export class PlacementManager extends ServerSource {
	private readonly running = new Map<BackendServerId, number>()
	private readonly ejection: OutlierEjection
	/** Backend servers in service by pool, until the fleet or the list changes. */
	private readonly servers = new Map<PoolId, readonly BackendServer[]>()
	private serversOffset = -1
	private serversListings: ReadonlyMap<BackendServerId, ServerListing> | undefined

	constructor(private readonly options: Options) {
		super()
		this.ejection = new OutlierEjection({ timers: options.timers })
	}

	override getCapacity(pool: PoolId): number {
		return this.getServers(pool).reduce((sum, server) => sum + server.slots, 0)
	}

	override reserve(
		pool: PoolId,
		_team?: TeamId,
		excluded: ReadonlySet<BackendServerId> = new Set()
	): BackendServerId | undefined {
		const servers = this.getServers(pool)
		const { availabilityZone, instance } = this.options
		const server = this.options.policy.choose({
			availabilityZone,
			instance,
			zoneInstances: this.getZoneInstances(),
			excluded,
			candidates: servers
				.filter((row) => this.ejection.isOpen(row.name))
				.map((row) => this.getCandidate(row)),
		})
		if (server === undefined) return undefined
		this.running.set(server, this.getRunning(server) + 1)
		return server
	}

	override release(server: BackendServerId): void {
		const running = this.getRunning(server) - 1
		if (running > 0) this.running.set(server, running)
		else this.running.delete(server)
	}

	/** Notes that a request is sent to a reserved backend server; returns whether it is a probe. */
	noteStart(server: BackendServerId): boolean {
		return this.ejection.noteStart(server)
	}

	/** Notes how an attempt ended; its slot is released apart. */
	noteEnd(server: BackendServerId, outcome: AttemptOutcome, isProbe: boolean): void {
		this.ejection.noteEnd(server, { result: getResult(outcome), probe: isProbe })
	}

	/** Requests of this daemon that run, or may still run, at a backend server. */
	getRunning(server: BackendServerId): number {
		return this.running.get(server) ?? 0
	}

	/** Backend servers with requests of this daemon. */
	getBusyServers(): ReadonlyMap<BackendServerId, number> {
		return this.running
	}

	isEjected(server: BackendServerId): boolean {
		return this.ejection.isEjected(server)
	}

	/** Connections that this daemon may hold to a backend server. */
	getConnections(server: BackendServer): number {
		return getConnectionShare(server, this.getCurrentMembers().length)
	}

	private getServers(pool: PoolId): readonly BackendServer[] {
		const state = this.options.getState()
		const listings = this.options.getListings()
		if (state.offset !== this.serversOffset || listings !== this.serversListings) {
			this.servers.clear()
			this.serversOffset = state.offset
			this.serversListings = listings
		}
		const known = this.servers.get(pool)
		if (known) return known
		const servers = getPlaceableServers(state, pool, listings)
		this.servers.set(pool, servers)
		this.ejection.setPool(
			pool,
			servers.map((server) => server.name)
		)
		return servers
	}

	private getCandidate(server: BackendServer): PlacementCandidate {
		const running = this.getRunning(server.name)
		return {
			name: server.name,
			availabilityZone: server.availabilityZone,
			slots: server.slots,
			running,
			peerRunning: this.options.getPeerRunning(server.name),
			freeConnections: this.getConnections(server) - running,
		}
	}

	private getZoneInstances(): InstanceId[] {
		return this.getCurrentMembers()
			.filter((member) => member.availabilityZone === this.options.availabilityZone)
			.map((member) => member.instance)
	}

	/** Members whose lease has not lapsed; those that vanished hold no connections. */
	private getCurrentMembers(): Member[] {
		return [...this.options.getState().members.values()].filter((member) => !member.lapsed)
	}
}

function getResult(outcome: AttemptOutcome): 'success' | 'failure' | 'neutral' {
	switch (outcome.type) {
		case 'answered':
			return outcome.status >= SERVER_ERROR_STATUS ? 'failure' : 'success'
		case 'cancelled-before-write':
		case 'cancelled-after-write':
		case 'connection-unavailable':
		case 'refused':
			return 'neutral'
		case 'body-timeout':
		case 'connection-refused':
		case 'connection-timeout':
		case 'head-timeout':
		case 'malformed-response':
		case 'reset-after-write':
		case 'reset-before-write':
		case 'truncated-response':
			return 'failure'
	}
}
