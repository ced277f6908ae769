import {
	createStatusReport,
	type DaemonStatus,
	type FleetState,
	type InstanceId,
	type Milliseconds,
	type PoolId,
	type PoolLoadStatus,
	type StatusReport,
	type TeamId,
	type TeamLoad,
	type TeamLoadStatus,
	type TimerService,
} from '@mastichead/core'
import { StatusSource } from './StatusSource.js'

interface Options {
	readonly timers: TimerService
	readonly instance: InstanceId
	readonly availabilityZone: string
	/** The log as this daemon follows it. */
	readonly log: {
		readonly state: FleetState
		readonly isReady: boolean
		/** Monotonic instant of the last answer from the platform; undefined before the first. */
		readonly platformContactAt: Milliseconds | undefined
	}
	/** What runs and waits here. */
	readonly loads: {
		getPools(): readonly PoolId[]
		getOwnLoad(pool: PoolId): ReadonlyMap<TeamId, TeamLoad>
	}
	/** Allowance of a team that this daemon may use now. */
	readonly getUsableAllowance: (team: TeamId) => number
	/** What the digests of peers say of them. */
	readonly getPeerStatuses: () => readonly DaemonStatus[]
	readonly isLeaving: () => boolean
}

/**
 * Describes this daemon from its managers, and the fleet from the log and the digests of peers.
 *
 * @public
 */
export class StatusManager extends StatusSource {
	constructor(private readonly options: Options) {
		super()
	}

	override getStatus(): StatusReport {
		const { log, instance, getPeerStatuses: getPeers } = this.options
		const daemons = [this.getOwnStatus(), ...getPeers()]
		return createStatusReport({ state: log.state, instance, daemons })
	}

	override getUnreadyReason(): string | undefined {
		if (this.options.isLeaving()) return 'the daemon shuts down'
		if (!this.options.log.isReady) return 'the end of the log was not reached yet'
		return undefined
	}

	private getOwnStatus(): DaemonStatus {
		const { log, instance, availabilityZone, isLeaving, timers } = this.options
		const contactAt = log.platformContactAt
		return {
			instance,
			availabilityZone,
			source: 'self',
			reachable: true,
			ageMilliseconds: 0,
			offset: log.state.offset,
			version: log.state.version,
			logAgeMilliseconds: contactAt === undefined ? undefined : timers.now() - contactAt,
			leaving: isLeaving(),
			teams: this.getTeams(),
		}
	}

	private getTeams(): TeamLoadStatus[] {
		const pools = this.getPoolLoads()
		const names = [...this.options.log.state.teams.keys()]
		return names.map((team) => {
			const rows = pools.get(team) ?? []
			return {
				team,
				running: rows.reduce((sum, row) => sum + row.running, 0),
				queued: rows.reduce((sum, row) => sum + row.queued, 0),
				usable: this.options.getUsableAllowance(team),
				pools: rows,
			}
		})
	}

	private getPoolLoads(): Map<TeamId, PoolLoadStatus[]> {
		const { loads } = this.options
		const rows = new Map<TeamId, PoolLoadStatus[]>()
		for (const pool of loads.getPools()) {
			for (const { team, running, queued } of loads.getOwnLoad(pool).values()) {
				rows.set(team, [...(rows.get(team) ?? []), { pool, running, queued }])
			}
		}
		return rows
	}
}
