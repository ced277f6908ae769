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
	/** The log as replicated at this daemon. */
	readonly log: {
		readonly state: FleetState
		readonly isReady: boolean
		/** Monotonic instant before the last answered read was sent; undefined before the first. */
		readonly platformContactAt: Milliseconds | undefined
	}
	/** Running and queued requests of this daemon. */
	readonly loads: {
		getPools(): readonly PoolId[]
		getOwnLoad(pool: PoolId): ReadonlyMap<TeamId, TeamLoad>
	}
	/** Returns the allowance of a team that this daemon may use now. */
	readonly getUsableAllowance: (team: TeamId) => number
	/** Returns the status of each peer from its last digest. */
	readonly getPeerStatuses: () => readonly DaemonStatus[]
	readonly isLeaving: () => boolean
}

/**
 * Reports the status of this daemon from its managers, and of the fleet from the log and the
 * digests of peers.
 *
 * @public
 */
export class StatusManager extends StatusSource {
	constructor(private readonly options: Options) {
		super()
	}

	override getStatus(): StatusReport {
		const { log, instance, getPeerStatuses } = this.options
		const daemons = [this.getOwnStatus(), ...getPeerStatuses()]
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
			teams: this.getTeamLoads(),
		}
	}

	private getTeamLoads(): TeamLoadStatus[] {
		const loadsByTeam = this.getPoolLoads()
		const names = [...this.options.log.state.teams.keys()]
		return names.map((team) => {
			const poolLoads = loadsByTeam.get(team) ?? []
			return {
				team,
				running: poolLoads.reduce((sum, load) => sum + load.running, 0),
				queued: poolLoads.reduce((sum, load) => sum + load.queued, 0),
				usable: this.options.getUsableAllowance(team),
				pools: poolLoads,
			}
		})
	}

	private getPoolLoads(): Map<TeamId, PoolLoadStatus[]> {
		const { loads } = this.options
		const loadsByTeam = new Map<TeamId, PoolLoadStatus[]>()
		for (const pool of loads.getPools()) {
			for (const { team, running, queued } of loads.getOwnLoad(pool).values()) {
				loadsByTeam.set(team, [...(loadsByTeam.get(team) ?? []), { pool, running, queued }])
			}
		}
		return loadsByTeam
	}
}
