import type { PoolPolicy, PoolState } from '@mastichead/core'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'

const MILLISECONDS_PER_SECOND = 1_000
/** Interval between two log lines about the pools, in milliseconds. */
const LOG_INTERVAL = 1_000

/**
 * Reports the pools that an owner sees, in log lines and metrics.
 *
 * @internal
 */
export class PoolReporter {
	private loggedAt = -Infinity
	private lastRoundAt: number | undefined
	/** Machine limits of the pools that give machines to others, by service. */
	private readonly restrained = new Map<string, number>()

	constructor(
		private readonly context: Pick<OwnerContext, 'events' | 'metrics'>,
		private readonly policy: PoolPolicy
	) {}

	/** Reports the pools of one round. */
	report(pools: readonly PoolState[], now: number): void {
		this.logPools(pools, now)
		this.countIdleTime(pools, now)
	}

	private logPools(pools: readonly PoolState[], now: number): void {
		if (now - this.loggedAt < LOG_INTERVAL) return
		this.loggedAt = now
		const lines: Record<string, string> = {}
		for (const pool of pools) {
			const {
				service,
				machines,
				arrivingMachines,
				demandCores,
				usedCores,
				pendingCores,
				lastingCores,
				lateCores,
			} = pool
			const targetSize = this.policy.getTargetSize(pool)
			const cores = [demandCores, usedCores, pendingCores, lastingCores, lateCores]
				.map((value) => value.toFixed(0))
				.join('/')
			lines[service] = `${machines.length}+${arrivingMachines} of ${targetSize}, cores ${cores}`
		}
		this.context.events.info('pools-seen', lines)
	}

	/** Counts the time for which machines are held without work. */
	private countIdleTime(pools: readonly PoolState[], now: number): void {
		const elapsed = now - (this.lastRoundAt ?? now)
		this.lastRoundAt = now
		for (const { service, spare, machines } of pools) {
			if (spare) continue
			const idle = machines.filter(({ idleSince }) => idleSince !== undefined).length
			const seconds = (idle * elapsed) / MILLISECONDS_PER_SECOND
			this.context.metrics.count('idle_machine_seconds', service, seconds)
		}
	}

	/** Reports when a pool begins or ends to give machines to others. */
	reportRestraint(pool: PoolState): void {
		const { service, machines } = pool
		const limit = this.policy.getMachineLimit(pool, false)
		const before = this.restrained.get(service)
		if (limit === undefined) this.restrained.delete(service)
		else this.restrained.set(service, limit)
		if ((limit === undefined) === (before === undefined)) return
		const { events, metrics } = this.context
		events.info('pool-restrained', { service, limit, before, machines: machines.length })
		if (limit !== undefined) metrics.count('pools_restrained', service)
	}
}
