import { runShares } from './shares/runShares.js'
import type { ShareScenario } from './shares/ShareScenario.js'

const TEAM_SHARES = new Map([
	['connections-desk', 8],
	['administrators', 6],
	['installers', 5],
	['municipal-planners', 2],
	['surveyors', 2],
	['office', 1],
])
const WARM_UP_MILLISECONDS = 5000
/** Time during which `RETURNING_TEAM` offers no load. */
const PAUSE_START_MILLISECONDS = 20_000
const PAUSE_END_MILLISECONDS = 30_000
const RETURNING_TEAM = 'connections-desk'

const commonSettings = {
	daemons: 8,
	servers: 7,
	slots: 8,
	shares: TEAM_SHARES,
	skew: 0.8,
	meanRunMilliseconds: 400,
}

const fullScenario: ShareScenario = {
	...commonSettings,
	name: 'full',
	getOfferedLoad: () => 20,
	durationMilliseconds: 40_000,
}

const lendingScenario: ShareScenario = {
	...commonSettings,
	name: 'lending',
	getOfferedLoad: (team, at) =>
		team === RETURNING_TEAM && at >= PAUSE_START_MILLISECONDS && at < PAUSE_END_MILLISECONDS
			? 0
			: 25,
	durationMilliseconds: 50_000,
}

/** Offers 80% of the capacity, split by the team shares, which add up to 24. */
const steadyScenario: ShareScenario = {
	...commonSettings,
	name: 'steady 80%',
	getOfferedLoad: (team) =>
		(commonSettings.servers * commonSettings.slots * 0.8 * (TEAM_SHARES.get(team) ?? 0)) / 24,
	durationMilliseconds: 60_000,
}

/**
 * Row of the table: distances from the fair share and use in percent, times in milliseconds.
 *
 * @internal
 */
interface Row {
	readonly scenario: string
	readonly way: string
	readonly meanDistance: number
	readonly worstDistance: number
	readonly use: number
	readonly returnMilliseconds: number
	readonly refusedPercent: number
	readonly p50Wait: number
	readonly p99Wait: number
	readonly messagesPerSecond: number
}

/**
 * Compares scheduling methods by how close they keep teams to their shares, over 8 daemons with
 * skewed arrivals and the same demand, in virtual time.
 *
 * @public
 */
export function shareBench(options: { readonly seed: number }): Row[] {
	return [fullScenario, lendingScenario, steadyScenario].flatMap((scenario) =>
		(['local', 'fleet', 'owner', 'central'] as const).map((method) => {
			const { meter, backendPool, waits, messageCount } = runShares(scenario, method, options.seed)
			const isFull = scenario !== steadyScenario
			const end =
				scenario === lendingScenario ? PAUSE_START_MILLISECONDS : scenario.durationMilliseconds
			const distance = isFull
				? meter.getDistances(WARM_UP_MILLISECONDS, end)
				: { mean: Number.NaN, worst: Number.NaN }
			waits.sort((a, b) => a - b)
			return {
				scenario: scenario.name,
				way: method,
				meanDistance: distance.mean,
				worstDistance: distance.worst,
				use: meter.getUtilization(WARM_UP_MILLISECONDS, scenario.durationMilliseconds),
				returnMilliseconds:
					scenario === lendingScenario
						? meter.getReturnTime(RETURNING_TEAM, PAUSE_END_MILLISECONDS)
						: Number.NaN,
				refusedPercent: (100 * backendPool.refusedCount) / backendPool.attemptCount,
				p50Wait: waits[Math.floor(waits.length * 0.5)] ?? 0,
				p99Wait: waits[Math.floor(waits.length * 0.99)] ?? 0,
				messagesPerSecond: (1000 * messageCount) / scenario.durationMilliseconds,
			}
		})
	)
}
