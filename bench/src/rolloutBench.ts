import {
	createFleetPatch,
	createSampleFleet,
	getFleet,
	SystemTimerService,
	type Fleet,
} from '@mastichead/core'
import { createLogger, HttpLogClient, LogManager } from '@mastichead/daemon'
import { PlatformServer } from '@mastichead/standins'
import type { RolloutBenchRow } from './RolloutBenchRow.js'

const APPLY_COUNT = 40
const CURRENT_DEPLOYMENT = { daemons: 8, size: { pools: 5, teams: 6, backendServers: 35 } }
const TARGET_DEPLOYMENT = {
	daemons: 24,
	size: { zones: 9, pools: 211, teams: 350, backendServers: 6000 },
}

/** Proposes a fleet and returns the milliseconds until every daemon has applied it. */
async function measureApply(
	logs: readonly LogManager[],
	fleet: Fleet,
	id: string
): Promise<number> {
	const [proposer] = logs
	if (!proposer) throw new Error('the bench has no daemons')
	const { state } = proposer
	const patch = createFleetPatch(getFleet(state), fleet)
	const start = performance.now()
	const allApplied = logs.map(
		(log) =>
			new Promise<void>((resolve) => {
				const subscription = log.onEntry(({ proposal }) => {
					if (proposal.id !== id) return
					subscription.cancel()
					resolve()
				})
			})
	)
	const base = state.version
	const outcome = await proposer.propose({ kind: 'apply', id, base, patch, operator: 'bench' })
	if (outcome.type !== 'decided' || outcome.decision.type !== 'accepted') {
		throw new Error(`apply ${id} was not accepted`)
	}
	await Promise.all(allApplied)
	return performance.now() - start
}

async function measureDeployment({
	daemons,
	size,
}: typeof CURRENT_DEPLOYMENT): Promise<RolloutBenchRow> {
	const timers = new SystemTimerService()
	const logger = createLogger({ level: 'error' })
	const platform = new PlatformServer()
	const url = `http://127.0.0.1:${await platform.start()}`
	const logs = Array.from({ length: daemons }, (_, index) => {
		const log = new LogManager(timers, new HttpLogClient(timers, [url], `entry-${index}`), logger)
		log.start()
		return log
	})
	const fleet = createSampleFleet(size)
	await measureApply(logs, fleet, 'first')
	const times: number[] = []
	for (let index = 0; index < APPLY_COUNT; index++) {
		const teams = fleet.teams.map((team) => ({ ...team, limit: 200 + index }))
		times.push(await measureApply(logs, { ...fleet, teams }, `apply-${index}`))
	}
	await Promise.all(logs.map((log) => log.stop()))
	await platform.stop()
	times.sort((a, b) => a - b)
	const [p50, longest] = [times[Math.floor(times.length / 2)], times.at(-1)]
	const { backendServers } = size
	return { daemons, backendServers, applies: APPLY_COUNT, p50: p50 ?? NaN, longest: longest ?? NaN }
}

/**
 * Measures how long a proposed configuration takes until every daemon has applied it, over loopback
 * HTTP against the platform stand-in: with 8 daemons at the current size and with 24 daemons at the
 * target size. All daemons share one thread, so the times are upper bounds.
 *
 * @public
 */
export async function rolloutBench(): Promise<readonly RolloutBenchRow[]> {
	return [await measureDeployment(CURRENT_DEPLOYMENT), await measureDeployment(TARGET_DEPLOYMENT)]
}
