import type { InstanceId } from '../ids/InstanceId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { Pool } from '../fleet/Pool.js'
import type { Team } from '../fleet/Team.js'
import type { FleetState } from '../state/FleetState.js'
import { AvailabilityLedger } from '../waves/AvailabilityLedger.js'
import type { BackendServerStatus } from './BackendServerStatus.js'
import { addDaemonCounts } from './addDaemonCounts.js'
import type { DaemonStatus } from './DaemonStatus.js'
import { formatActivity } from './formatActivity.js'
import { getWaveStatus } from './getWaveStatus.js'
import type { MoveStatus } from './MoveStatus.js'
import type { PoolStatus } from './PoolStatus.js'
import type { StatusReport } from './StatusReport.js'
import type { TeamStatus } from './TeamStatus.js'

/**
 * Creates a status report of the fleet as one daemon sees it.
 *
 * @param options.state - state folded from the log
 * @param options.instance - the daemon that creates the report
 * @param options.daemons - status of each known daemon, the reporting one included; members of the
 * log without a row are listed as unreachable
 * @public
 */
export function createStatusReport(options: {
	readonly state: FleetState
	readonly instance: InstanceId
	readonly daemons: readonly DaemonStatus[]
}): StatusReport {
	const { state, instance } = options
	const ledger = new AvailabilityLedger(state)
	const slots = getSlotsByPool(state, ledger)
	const daemons = addUnheardMembers(state, options.daemons)
	const report: StatusReport = {
		instance,
		fleet: state.name,
		version: state.version,
		offset: state.offset,
		zones: state.availabilityZones.map((availabilityZone) => ({
			availabilityZone,
			daemons: 0,
			reachableDaemons: 0,
			running: 0,
			queued: 0,
		})),
		daemons,
		unheard: daemons
			.filter((daemon) => !daemon.reachable)
			.map((daemon) => ({
				instance: daemon.instance,
				by: instance,
				ageMilliseconds: daemon.ageMilliseconds,
			})),
		teams: [...state.teams.values()].map((team) => createTeamStatus(state, team)),
		pools: [...state.pools.values()].map((pool) =>
			createPoolStatus(pool, ledger, slots.get(pool.name) ?? 0)
		),
		outOfService: getOutOfServiceServers(state, ledger),
		moves: getMoveStatuses(state),
		waves: [...state.waves.values()].map((wave) => getWaveStatus(state, wave, ledger)),
	}
	return addDaemonCounts(report, daemons)
}

function addUnheardMembers(
	state: FleetState,
	daemons: readonly DaemonStatus[]
): readonly DaemonStatus[] {
	const heard = new Set(daemons.map((daemon) => daemon.instance))
	const unheard = [...state.members.values()].filter((member) => !heard.has(member.instance))
	return [
		...daemons,
		...unheard.map((member): DaemonStatus => ({
			instance: member.instance,
			availabilityZone: member.availabilityZone,
			source: 'log',
			reachable: false,
			offset: -1,
			version: 0,
			leaving: false,
			teams: [],
		})),
	]
}

function createTeamStatus(state: FleetState, team: Team): TeamStatus {
	const allowances = [...state.members.values()].map(({ instance, allowances }) => ({
		instance,
		units: allowances.get(team.name) ?? 0,
	}))
	return {
		team: team.name,
		share: team.share,
		limit: team.limit,
		running: 0,
		queued: 0,
		sharePart: 0,
		reachedPart: 0,
		allowances: allowances.filter((row) => row.units > 0),
	}
}

function createPoolStatus(pool: Pool, ledger: AvailabilityLedger, slots: number): PoolStatus {
	const { available, unavailable } = ledger.getAvailability(pool.name)
	return {
		pool: pool.name,
		spare: pool.spare,
		running: 0,
		queued: 0,
		slots,
		available,
		unavailable,
		minimumAvailable: pool.minimumAvailable,
		maximumUnavailable: pool.maximumUnavailable,
	}
}

/** Returns the total slots of the backend servers in service, by pool. */
function getSlotsByPool(state: FleetState, ledger: AvailabilityLedger): Map<PoolId, number> {
	const slots = new Map<PoolId, number>()
	for (const [name, { pool }] of state.placements) {
		if (!ledger.isAvailable(name)) continue
		const serverSlots = state.backendServers.get(name)?.slots ?? 0
		slots.set(pool, (slots.get(pool) ?? 0) + serverSlots)
	}
	return slots
}

function getOutOfServiceServers(
	state: FleetState,
	ledger: AvailabilityLedger
): BackendServerStatus[] {
	const rows: BackendServerStatus[] = []
	for (const [backendServer, placement] of state.placements) {
		if (ledger.isAvailable(backendServer)) continue
		rows.push({
			backendServer,
			availabilityZone: state.backendServers.get(backendServer)?.availabilityZone ?? '',
			pool: placement.pool,
			health: ledger.health.getHealth(backendServer),
			activity: formatActivity(placement.activity),
		})
	}
	return rows
}

function getMoveStatuses(state: FleetState): MoveStatus[] {
	const rows: MoveStatus[] = []
	for (const [backendServer, { activity, pool }] of state.placements) {
		if (activity.type === 'joining') {
			rows.push({ backendServer, from: activity.from, to: pool, step: 'joining' })
		}
		if (activity.type === 'draining' && activity.reason === 'move') {
			rows.push({ backendServer, from: pool, to: activity.to, step: 'draining' })
		}
	}
	return rows
}
