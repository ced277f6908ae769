import type { DaemonStatus } from './DaemonStatus.js'
import { LoadSum } from './LoadSum.js'
import type { StatusReport } from './StatusReport.js'
import type { TeamStatus } from './TeamStatus.js'

/**
 * Returns a copy of `report` that lists `daemons` and sums the load of the reachable ones by zone,
 * team and pool.
 *
 * @public
 */
export function addDaemonCounts(
	report: StatusReport,
	daemons: readonly DaemonStatus[]
): StatusReport {
	const zoneLoads = new LoadSum()
	const teamLoads = new LoadSum()
	const poolLoads = new LoadSum()
	for (const daemon of daemons) {
		if (!daemon.reachable) continue
		for (const load of daemon.teams) {
			zoneLoads.add(daemon.availabilityZone, load)
			teamLoads.add(load.team, load)
			for (const part of load.pools) poolLoads.add(part.pool, part)
		}
	}
	return {
		...report,
		daemons,
		zones: report.zones.map((zone) => {
			const members = daemons.filter((row) => row.availabilityZone === zone.availabilityZone)
			const reachableDaemons = members.filter((row) => row.reachable).length
			const load = zoneLoads.get(zone.availabilityZone)
			return { ...zone, daemons: members.length, reachableDaemons, ...load }
		}),
		teams: getTeamStatuses(report.teams, teamLoads),
		pools: report.pools.map((pool) => ({ ...pool, ...poolLoads.get(pool.pool) })),
	}
}

function getTeamStatuses(teams: readonly TeamStatus[], loads: LoadSum): TeamStatus[] {
	const { running } = loads
	const counted = teams.map((team) => ({ ...team, ...loads.get(team.team) }))
	let shares = 0
	for (const team of counted) if (hasRequests(team)) shares += team.share
	return counted.map((team) => ({
		...team,
		sharePart: hasRequests(team) ? team.share / shares : 0,
		reachedPart: running === 0 ? 0 : team.running / running,
	}))
}

function hasRequests(row: { readonly running: number; readonly queued: number }): boolean {
	return row.running + row.queued > 0
}
