import type { DaemonStatus } from './DaemonStatus.js'
import type { StatusReport } from './StatusReport.js'

/**
 * Fills a report with the counts of `daemons`. Daemons that are not reachable are listed but not
 * counted.
 *
 * @public
 */
export function countDaemons(report: StatusReport, daemons: readonly DaemonStatus[]): StatusReport {
	const reachable = daemons.filter((daemon) => daemon.reachable)
	const loads = reachable.flatMap((daemon) => daemon.teams)
	const poolLoads = loads.flatMap((load) => load.pools)
	const running = sum(loads, (load) => load.running)
	const teams = report.teams.map((team) => {
		const own = loads.filter((load) => load.team === team.team)
		return { ...team, running: sum(own, (load) => load.running), queued: sum(own, getQueued) }
	})
	const shares = sum(teams.filter(hasRequests), (team) => team.share)
	return {
		...report,
		daemons,
		zones: report.zones.map((zone) => {
			const members = daemons.filter((row) => row.availabilityZone === zone.availabilityZone)
			const counted = members.filter((row) => row.reachable)
			const own = counted.flatMap((row) => row.teams)
			return {
				...zone,
				daemons: members.length,
				reachableDaemons: counted.length,
				running: sum(own, (load) => load.running),
				queued: sum(own, getQueued),
			}
		}),
		teams: teams.map((team) => ({
			...team,
			sharePart: hasRequests(team) ? team.share / shares : 0,
			reachedPart: running === 0 ? 0 : team.running / running,
		})),
		pools: report.pools.map((pool) => {
			const own = poolLoads.filter((load) => load.pool === pool.pool)
			return { ...pool, running: sum(own, (load) => load.running), queued: sum(own, getQueued) }
		}),
	}
}

function hasRequests(row: { readonly running: number; readonly queued: number }): boolean {
	return row.running + row.queued > 0
}

function getQueued(row: { readonly queued: number }): number {
	return row.queued
}

function sum<Row>(rows: readonly Row[], get: (row: Row) => number): number {
	return rows.reduce((total, row) => total + get(row), 0)
}
