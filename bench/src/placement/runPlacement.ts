import { VirtualTimerService, type Milliseconds } from '@mastichead/core'
import { createRandom } from '../createRandom.js'
import type { PlacementScenario } from './PlacementScenario.js'
import type { PlacementWay } from './PlacementWay.js'
import { SimulatedFleet } from './SimulatedFleet.js'
import type { SimulatedRequest } from './SimulatedRequest.js'

/** Time after a backend server began to fail from which its share is counted, in milliseconds. */
const SETTLING = 5000

/** Time left to requests that still wait after the last arrival, in milliseconds. */
const TAIL = 60_000

/**
 * What one run showed.
 *
 * @internal
 */
interface Result {
	readonly waits: readonly Milliseconds[]
	readonly attempts: number
	readonly refused: number
	readonly lost: number
	readonly spilled: number
	/** Share of the attempts that went to failing servers once settled. */
	readonly failingShare: number
	/** Bytes that the busiest entry instance sends to others, per second. */
	readonly bytesPerSecond: number
}

/**
 * Runs one way through one scenario in virtual time.
 *
 * @internal
 */
export function runPlacement(
	scenario: PlacementScenario,
	requests: readonly SimulatedRequest[],
	way: PlacementWay
): Result {
	const timers = new VirtualTimerService()
	const fleet = new SimulatedFleet(timers, createRandom(1), way)
	const { servers, entries } = fleet
	const countAttempts = () => entries.reduce((sum, entry) => sum + entry.attempts, 0)
	const countFailed = () => servers.reduce((sum, server) => sum + server.failed, 0)
	let settledAttempts = 0
	let settledFailed = 0
	timers.after(scenario.failAt, () => {
		for (const server of servers.slice(0, scenario.failingServers)) server.failing = true
	})
	timers.after(scenario.failAt + SETTLING, () => {
		settledAttempts = countAttempts()
		settledFailed = countFailed()
	})
	for (const request of requests) {
		timers.advance(request.at - timers.now())
		entries[request.entry]?.receive(request)
	}
	const bytesPerSecond = Math.max(...fleet.bytes) / (timers.now() / 1000)
	timers.advance(TAIL)
	const attempts = countAttempts()
	return {
		waits: servers.flatMap((server) => server.waits),
		attempts,
		refused: servers.reduce((sum, server) => sum + server.refused, 0),
		lost: entries.reduce((sum, entry) => sum + entry.lost, 0),
		spilled: entries.reduce((sum, entry) => sum + entry.spilled, 0),
		failingShare: (countFailed() - settledFailed) / Math.max(1, attempts - settledAttempts),
		bytesPerSecond,
	}
}
