import type {
	FleetState,
	Milliseconds,
	PoolDemand,
	PoolId,
	QueueId,
	TeamId,
	TeamLoad,
} from '@mastichead/core'

/** Mean run time assumed for a pool without measurements. */
const DEFAULT_MEAN_RUN_MILLISECONDS = 1000

/**
 * Computes the fleet-wide demand on each pool.
 *
 * @param getLoads - returns the loads of this daemon and of its peers in a pool
 * @param getMeanRunTime - returns the measured mean run time of a queue
 * @internal
 */
export function getPoolDemands(
	state: FleetState,
	getLoads: (pool: PoolId) => readonly ReadonlyMap<TeamId, TeamLoad>[],
	getMeanRunTime: (queue: QueueId) => Milliseconds | undefined
): ReadonlyMap<PoolId, PoolDemand> {
	const demands = new Map<PoolId, PoolDemand>()
	for (const pool of state.pools.keys()) {
		let running = 0
		let queued = 0
		for (const load of getLoads(pool).flatMap((table) => [...table.values()])) {
			running += load.running
			queued += load.queued
		}
		const queues = [...state.queues.values()].filter((queue) => queue.pool === pool)
		const runTimes = queues.flatMap((queue) => getMeanRunTime(queue.name) ?? [])
		const meanRunTime =
			runTimes.length > 0
				? runTimes.reduce((sum, run) => sum + run, 0) / runTimes.length
				: DEFAULT_MEAN_RUN_MILLISECONDS
		const toleratedWait = Math.min(...queues.map((queue) => queue.timeoutMilliseconds))
		demands.set(pool, { pool, running, queued, meanRunTime, toleratedWait })
	}
	return demands
}
