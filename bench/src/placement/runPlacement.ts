import { VirtualTimerService, type Milliseconds } from '@mastichead/core'
import { createRandom } from '../createRandom.js'
import type { PlacementScenario } from './PlacementScenario.js'
import type { PlacementMethod } from './PlacementMethod.js'
import { SimulatedFleet } from './SimulatedFleet.js'
import type { SimulatedRequest } from './SimulatedRequest.js'

/** Time from the start of a failure until its share of attempts is measured, in milliseconds. */
const SETTLE_TIME = 5000

/** Time for waiting requests to finish after the last arrival, in milliseconds. */
const DRAIN_TIME = 60_000

/**
 * Result of one placement simulation.
 *
 * @internal
 */
interface Result {
	/** Time from arrival to start of each started request. */
	readonly waits: readonly Milliseconds[]
	readonly attempts: number
	readonly refused: number
	readonly lost: number
	readonly spilled: number
	/** Part of the attempts after the settle time that failing servers received. */
	readonly failingShare: number
	/** Bytes that the busiest entry instance sends to others, per second. */
	readonly bytesPerSecond: number
}

/**
 * Simulates one placement method in one scenario, in virtual time.
 *
 * @internal
 */
export function runPlacement(
	scenario: PlacementScenario,
	requests: readonly SimulatedRequest[],
	method: PlacementMethod
): Result {
	const timers = new VirtualTimerService()
	const fleet = new SimulatedFleet(timers, createRandom(1), method)
	const { servers, entries } = fleet
	const countAttempts = () => entries.reduce((sum, entry) => sum + entry.attemptCount, 0)
	const countFailed = () => servers.reduce((sum, server) => sum + server.failedCount, 0)
	let settledAttempts = 0
	let settledFailed = 0
	timers.after(scenario.failAt, () => {
		for (const server of servers.slice(0, scenario.failingServers)) server.isFailing = true
	})
	timers.after(scenario.failAt + SETTLE_TIME, () => {
		settledAttempts = countAttempts()
		settledFailed = countFailed()
	})
	for (const request of requests) {
		timers.advance(request.at - timers.now())
		entries[request.entry]?.receive(request)
	}
	const bytesPerSecond = Math.max(...fleet.sentBytes) / (timers.now() / 1000)
	timers.advance(DRAIN_TIME)
	const attempts = countAttempts()
	return {
		waits: servers.flatMap((server) => server.waits),
		attempts,
		refused: servers.reduce((sum, server) => sum + server.refusedCount, 0),
		lost: entries.reduce((sum, entry) => sum + entry.lostCount, 0),
		spilled: entries.reduce((sum, entry) => sum + entry.spilledCount, 0),
		failingShare: (countFailed() - settledFailed) / Math.max(1, attempts - settledAttempts),
		bytesPerSecond,
	}
}
