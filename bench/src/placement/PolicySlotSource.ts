import {
	OutlierEjection,
	type BackendServerId,
	type Milliseconds,
	type TimerService,
} from '@mastichead/core'
import type { PlacementCandidate } from './policies/PlacementCandidate.js'
import type { PlacementPolicy } from './policies/PlacementPolicy.js'
import type { SimulatedDigest } from './SimulatedDigest.js'
import type { SimulatedServer } from './SimulatedServer.js'
import { SimulatedSlotSource } from './SimulatedSlotSource.js'

/** Time without new requests for a backend server that refused one, in milliseconds. */
const REFUSAL_COOLDOWN = 100

interface Options {
	readonly index: number
	readonly name: string
	readonly availabilityZone: string
	readonly zoneInstances: readonly string[]
	readonly timers: TimerService
	readonly policy: PlacementPolicy
	readonly servers: readonly SimulatedServer[]
}

/**
 * Chooses slots by a placement policy, from the counts of this entry instance and the digests of its
 * peers.
 *
 * @internal
 */
export class PolicySlotSource extends SimulatedSlotSource {
	/** Last digest of each peer, by its index. */
	readonly digests = new Map<number, SimulatedDigest>()
	private readonly running = new Map<BackendServerId, number>()
	private readonly refusedUntil = new Map<BackendServerId, Milliseconds>()
	/** Whether each running request is an ejection probe, oldest first. */
	private readonly runningProbes = new Map<BackendServerId, boolean[]>()
	private readonly ejection: OutlierEjection

	constructor(private readonly options: Options) {
		super()
		this.ejection = new OutlierEjection({ timers: options.timers })
		this.ejection.setPool('pool', this.getNames())
	}

	override reserve(excluded: ReadonlySet<BackendServerId>): BackendServerId | undefined {
		const { policy, availabilityZone, zoneInstances, name, servers } = this.options
		const candidates = servers
			.filter((server) => this.isAvailable(server.name))
			.map((server) => this.createCandidate(server))
		const instance = name
		const server = policy.choose({
			availabilityZone,
			zoneInstances,
			instance,
			excluded,
			candidates,
		})
		if (server === undefined) return undefined
		this.running.set(server, this.getRunning(server) + 1)
		const probes = this.runningProbes.get(server) ?? []
		this.runningProbes.set(server, probes)
		probes.push(this.ejection.recordStart(server))
		return server
	}

	override end(server: BackendServerId, result: 'success' | 'failure' | 'full'): void {
		this.running.set(server, this.getRunning(server) - 1)
		const probe = this.runningProbes.get(server)?.shift() ?? false
		this.ejection.recordEnd(server, { result: result === 'full' ? 'neutral' : result, probe })
		if (result !== 'full') return
		this.refusedUntil.set(server, this.options.timers.now() + REFUSAL_COOLDOWN)
	}

	createDigest(): SimulatedDigest {
		return {
			from: this.options.index,
			running: new Map(this.running),
			ejected: new Set(this.getNames().filter((name) => this.ejection.isEjected(name))),
		}
	}

	applyDigest(digest: SimulatedDigest): void {
		this.digests.set(digest.from, digest)
		for (const name of this.getNames()) {
			const ejected = [...this.digests.values()].some((known) => known.ejected.has(name))
			this.ejection.setPeerEjected(name, ejected)
		}
	}

	private isAvailable(server: BackendServerId): boolean {
		const refusedUntil = this.refusedUntil.get(server) ?? 0
		return this.options.timers.now() >= refusedUntil && this.ejection.isSelectable(server)
	}

	private createCandidate(server: SimulatedServer): PlacementCandidate {
		const { name, availabilityZone, slots } = server
		const running = this.getRunning(name)
		let peerRunning = 0
		for (const digest of this.digests.values()) peerRunning += digest.running.get(name) ?? 0
		return {
			name,
			availabilityZone,
			slots,
			running,
			peerRunning,
			freeConnections: slots - running,
		}
	}

	private getRunning(server: BackendServerId): number {
		return this.running.get(server) ?? 0
	}

	private getNames(): BackendServerId[] {
		return this.options.servers.map((server) => server.name)
	}
}
