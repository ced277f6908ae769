import {
	OutlierEjection,
	RequestAttempts,
	type AttemptOutcome,
	type AvailabilityZoneId,
	type BackendServerId,
	type Milliseconds,
	type PlacementCandidate,
	type PlacementPolicy,
	type RetryBudget,
	type VirtualTimerService,
} from '@mastichead/core'
import type { SimulatedDigest } from './SimulatedDigest.js'
import type { SimulatedRequest } from './SimulatedRequest.js'
import type { SimulatedServer } from './SimulatedServer.js'

interface Waiting {
	readonly request: SimulatedRequest
	readonly attempts: RequestAttempts
}

interface Options {
	readonly index: number
	readonly availabilityZone: AvailabilityZoneId
	readonly zoneInstances: readonly string[]
	readonly timers: VirtualTimerService
	readonly policy: PlacementPolicy
	readonly budget: RetryBudget
	readonly servers: readonly SimulatedServer[]
	/** One-way latency to a zone. */
	readonly getLatency: (zone: AvailabilityZoneId) => Milliseconds
	/** Called when a slot was freed that this entry instance has no use for. */
	readonly onSpare?: (server: BackendServerId) => void
}

/**
 * An entry instance of a placement run: a queue and the real decisions on placement, ejection and
 * retries.
 *
 * @internal
 */
export class SimulatedEntry {
	readonly name: string
	attempts = 0
	/** Requests that ended without a run. */
	lost = 0
	spilled = 0
	readonly digests = new Map<number, SimulatedDigest>()
	private readonly queue: Waiting[] = []
	private readonly running = new Map<BackendServerId, number>()
	private readonly ejection: OutlierEjection

	constructor(private readonly options: Options) {
		this.name = `entry-${options.index}`
		this.ejection = new OutlierEjection({ timers: options.timers })
		this.ejection.setPool(
			'pool',
			options.servers.map((server) => server.name)
		)
	}

	get queued(): number {
		return this.queue.length
	}

	receive(request: SimulatedRequest): void {
		const { timers, budget } = this.options
		const attempts = new RequestAttempts({ timers, budget, idempotent: false, deadline: Infinity })
		this.queue.push({ request, attempts })
		this.dispatch()
	}

	createDigest(): SimulatedDigest {
		const names = this.options.servers.map((server) => server.name)
		return {
			from: this.options.index,
			queued: this.queue.length,
			running: new Map(this.running),
			ejected: new Set(names.filter((name) => this.ejection.isEjected(name))),
		}
	}

	takeDigest(digest: SimulatedDigest): void {
		this.digests.set(digest.from, digest)
		for (const { name } of this.options.servers) {
			const ejected = [...this.digests.values()].some((known) => known.ejected.has(name))
			this.ejection.setPeerEjected(name, ejected)
		}
		this.dispatch()
	}

	dispatch(): void {
		for (let waiting = this.queue[0]; waiting; waiting = this.queue[0]) {
			const server = this.choose(waiting)
			if (!server) return
			this.queue.shift()
			this.send(waiting, server)
		}
	}

	private choose(waiting: Waiting): SimulatedServer | undefined {
		const { policy, servers, availabilityZone, zoneInstances } = this.options
		const candidates = servers
			.filter((server) => this.ejection.isOpen(server.name))
			.map((server) => this.createCandidate(server))
		const name = policy.choose({
			availabilityZone,
			zoneInstances,
			instance: this.name,
			excluded: waiting.attempts.excluded,
			candidates,
		})
		return servers.find((server) => server.name === name)
	}

	private createCandidate(server: SimulatedServer): PlacementCandidate {
		const running = this.getRunning(server.name)
		let peerRunning = 0
		for (const digest of this.digests.values()) {
			peerRunning += digest.running.get(server.name) ?? 0
		}
		const { name, availabilityZone, slots } = server
		const freeConnections = slots - running
		return { name, availabilityZone, slots, running, peerRunning, freeConnections }
	}

	private send(waiting: Waiting, server: SimulatedServer): void {
		const { timers, getLatency, availabilityZone } = this.options
		const latency = getLatency(server.availabilityZone)
		const probe = this.ejection.noteStart(server.name)
		waiting.attempts.start(server.name)
		this.attempts++
		if (server.availabilityZone !== availabilityZone) this.spilled++
		this.running.set(server.name, this.getRunning(server.name) + 1)
		timers.after(latency, () => {
			server.receive(waiting.request, (outcome) => {
				timers.after(latency, () => {
					this.end(waiting, server, outcome, probe)
				})
			})
		})
	}

	private end(
		waiting: Waiting,
		server: SimulatedServer,
		outcome: AttemptOutcome,
		probe: boolean
	): void {
		this.running.set(server.name, this.getRunning(server.name) - 1)
		const failed = outcome.type === 'answered' && outcome.status >= 500
		const result = outcome.type === 'refused' ? 'neutral' : failed ? 'failure' : 'success'
		this.ejection.noteEnd(server.name, { result, probe })
		const decision = waiting.attempts.end(outcome, { replayable: true })
		if (decision.type === 'retry') this.queue.unshift(waiting)
		else if (outcome.type === 'refused') this.lost++
		this.dispatch()
		if (this.queue.length === 0 && outcome.type === 'answered' && !failed) {
			this.options.onSpare?.(server.name)
		}
	}

	private getRunning(server: BackendServerId): number {
		return this.running.get(server) ?? 0
	}
}
