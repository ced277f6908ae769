import type {
	FleetState,
	Milliseconds,
	PoolDemand,
	PoolId,
	QueueId,
	TeamId,
	TeamLoad,
} from '@mastichead/core'

/** Mean run of a pool none of whose queues has been measured. */
const UNMEASURED_RUN_MILLISECONDS = 1000

/**
 * Works out the fleet-wide demand on each pool.
 *
 * @param loads - own load and that of the peers, for a pool
 * @param getMeanRun - measured mean run of a queue
 * @internal
 */
export function getPoolDemands(
	state: FleetState,
	loads: (pool: PoolId) => readonly ReadonlyMap<TeamId, TeamLoad>[],
	getMeanRun: (queue: QueueId) => Milliseconds | undefined
): ReadonlyMap<PoolId, PoolDemand> {
	const demands = new Map<PoolId, PoolDemand>()
	for (const pool of state.pools.keys()) {
		let running = 0
		let queued = 0
		for (const load of loads(pool).flatMap((table) => [...table.values()])) {
			running += load.running
			queued += load.queued
		}
		const queues = [...state.queues.values()].filter((queue) => queue.pool === pool)
		const runs = queues.flatMap((queue) => getMeanRun(queue.name) ?? [])
		const meanRun =
			runs.length > 0
				? runs.reduce((sum, run) => sum + run, 0) / runs.length
				: UNMEASURED_RUN_MILLISECONDS
		const tolerance = Math.min(...queues.map((queue) => queue.timeoutMilliseconds))
		demands.set(pool, { pool, running, queued, meanRunTime: meanRun, toleratedWait: tolerance })
	}
	return demands
}
