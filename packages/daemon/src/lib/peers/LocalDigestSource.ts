import type {
	BackendServerId,
	FleetState,
	PoolId,
	Scheduler,
	TeamId,
	TeamLoad as PoolTeamLoad,
} from '@mastichead/core'
import type { PoolLoad, ServerLoad, TeamLoad } from '@mastichead/protocol'
import type { AllowanceManager } from '../allowances/AllowanceManager.js'
import type { KeyReport } from '../keys/KeyReport.js'
import type { KeyManager } from '../keys/KeyManager.js'
import type { SlotManager } from '../slots/SlotManager.js'
import { DigestSource } from './DigestSource.js'

interface Options {
	readonly allowances: () => AllowanceManager
	readonly scheduler: () => Scheduler
	readonly slots: () => SlotManager
	readonly keys: () => KeyManager
	readonly isLeaving: () => boolean
	readonly getState: () => FleetState
}

/**
 * Collects the digest contents from the managers of this daemon.
 *
 * @internal
 */
export class LocalDigestSource extends DigestSource {
	constructor(private readonly options: Options) {
		super()
	}

	override getTeamLoads(): TeamLoad[] {
		const pools = this.getPoolLoads()
		const loads = this.options.allowances().getLoads()
		const { holder } = this.options.allowances()
		return [...loads].map(([team, { running, queued, free }]) => ({
			team,
			running,
			queued,
			lendable: free,
			usable: holder.getCapacity(team),
			pools: pools.get(team) ?? [],
		}))
	}

	override getServerLoads(): ServerLoad[] {
		return [...this.options.slots().getBusyServers()].map(([server, running]) => ({
			server,
			running,
			connections: running,
			ejected: false,
		}))
	}

	override getDrainedServers(): BackendServerId[] {
		const slots = this.options.slots()
		const drained: BackendServerId[] = []
		for (const [server, { activity }] of this.options.getState().placements) {
			if (activity.type !== 'draining' || slots.getRunningCount(server) > 0) continue
			drained.push(server)
		}
		return drained
	}

	override getKeyReport(): KeyReport {
		return this.options.keys().getReport()
	}

	override isLeaving(): boolean {
		return this.options.isLeaving()
	}

	private getPoolLoads(): Map<TeamId, PoolLoad[]> {
		const rows = new Map<TeamId, PoolLoad[]>()
		const scheduler = this.options.scheduler()
		for (const pool of scheduler.getPools()) {
			for (const load of scheduler.getOwnLoad(pool).values()) {
				const row = createPoolLoad(pool, load)
				rows.set(load.team, [...(rows.get(load.team) ?? []), row])
			}
		}
		return rows
	}
}

function createPoolLoad(pool: PoolId, { running, queued }: PoolTeamLoad): PoolLoad {
	return { pool, running, queued }
}
