import {
	RetryBudget,
	VirtualTimerService,
	type AvailabilityZoneId,
	type Milliseconds,
	type PlacementPolicy,
} from '@mastichead/core'
import { createSeededRandom } from './createSeededRandom.js'
import type { PlacementScenario } from './PlacementScenario.js'
import { SimulatedEntry } from './SimulatedEntry.js'
import type { SimulatedRequest } from './SimulatedRequest.js'
import { SimulatedServer } from './SimulatedServer.js'

/** One-way latency within a zone and between zones, in milliseconds. */
const NEAR = 0.5
const FAR = 1.5

/** Entry instances. */
const ENTRIES = 8

/** Backend servers of the pool. */
const SERVERS = 9

/** Time after a backend server began to fail from which its share is counted, in milliseconds. */
const SETTLING = 5000

/** Bytes of a digest on the wire: the frame, and each backend server in it. */
const DIGEST_FRAME_BYTES = 120
const DIGEST_SERVER_BYTES = 20

interface Options {
	readonly scenario: PlacementScenario
	readonly requests: readonly SimulatedRequest[]
	readonly createPolicy: (random: () => number) => PlacementPolicy
	readonly digestInterval: Milliseconds
	/** Whether a freed slot is offered at once to a peer with queued requests. */
	readonly offers: boolean
	/** Slots whose digests share the link; scales the digests to the whole fleet. */
	readonly fleetServers: number
}

interface Result {
	readonly waits: readonly Milliseconds[]
	readonly attempts: number
	readonly refused: number
	readonly lost: number
	readonly spilled: number
	/** Share of the attempts that went to failing servers once settled. */
	readonly failingShare: number
	/** Bytes that one entry instance sends to peers, per second. */
	readonly digestBytes: number
}

/**
 * Runs one policy through one scenario in virtual time.
 *
 * @internal
 */
export function runPlacement(options: Options): Result {
	const { scenario, requests } = options
	const timers = new VirtualTimerService()
	const random = createSeededRandom(1)
	const servers = Array.from(
		{ length: SERVERS },
		(_, index) => new SimulatedServer(`server-${index}`, getZone(index), timers)
	)
	const instances = Array.from({ length: ENTRIES }, (_, index) => index)
	let bytes = 0
	const entries: SimulatedEntry[] = instances.map((index) => {
		const availabilityZone = getZone(index)
		return new SimulatedEntry({
			index,
			availabilityZone,
			zoneInstances: instances
				.filter((other) => getZone(other) === availabilityZone)
				.map((other) => `entry-${other}`),
			timers,
			policy: options.createPolicy(random),
			budget: new RetryBudget(),
			servers,
			getLatency: (zone) => (zone === availabilityZone ? NEAR : FAR),
			onSpare: () => {
				if (options.offers) offer(index)
			},
		})
	})

	const tell = (from: number, to: number) => {
		const digest = entries[from]?.createDigest()
		if (!digest) return
		const delay = getZone(from) === getZone(to) ? NEAR : FAR
		timers.after(delay, () => entries[to]?.takeDigest(digest))
	}

	/** The peer is drawn by queue length, so that one freed slot brings one taker. */
	const offer = (from: number) => {
		const known = [...(entries[from]?.digests.values() ?? [])]
		const queued = known.reduce((sum, digest) => sum + digest.queued, 0)
		let left = random() * queued
		const target = known.find((digest) => (left -= digest.queued) < 0)
		if (!target) return
		bytes += DIGEST_FRAME_BYTES + DIGEST_SERVER_BYTES
		tell(from, target.from)
	}

	for (const from of instances) {
		const start = (options.digestInterval * from) / ENTRIES
		timers.after(start, () => {
			timers.every(options.digestInterval, () => {
				for (const to of instances) {
					if (to === from) continue
					bytes += DIGEST_FRAME_BYTES + DIGEST_SERVER_BYTES * options.fleetServers
					tell(from, to)
				}
			})
		})
	}

	for (const server of servers.slice(0, scenario.failingServers)) {
		timers.after(scenario.failAt, () => {
			server.failing = true
		})
	}

	let settledAttempts = 0
	let settledFailed = 0
	if (scenario.failingServers > 0) {
		timers.after(scenario.failAt + SETTLING, () => {
			settledAttempts = countAttempts(entries)
			settledFailed = countFailed(servers)
		})
	}

	for (const request of requests) {
		timers.advance(request.at - timers.now())
		entries[request.entry]?.receive(request)
	}
	timers.advance(scenario.meanService * 100)

	const attempts = countAttempts(entries)
	return {
		waits: servers.flatMap((server) => server.waits),
		attempts,
		refused: servers.reduce((sum, server) => sum + server.refused, 0),
		lost: entries.reduce((sum, entry) => sum + entry.lost, 0),
		spilled: entries.reduce((sum, entry) => sum + entry.spilled, 0),
		failingShare: (countFailed(servers) - settledFailed) / Math.max(1, attempts - settledAttempts),
		digestBytes: bytes / ENTRIES / (timers.now() / 1000),
	}
}

function getZone(index: number): AvailabilityZoneId {
	return `zone-${index % 3}`
}

function countAttempts(entries: readonly SimulatedEntry[]): number {
	return entries.reduce((sum, entry) => sum + entry.attempts, 0)
}

function countFailed(servers: readonly SimulatedServer[]): number {
	return servers.reduce((sum, server) => sum + server.failed, 0)
}
