import { addDaemonCounts } from './addDaemonCounts.js'
import type { DaemonStatus } from './DaemonStatus.js'
import type { StatusReport } from './StatusReport.js'

/**
 * Merges the reports of several daemons. Fleet state comes from the report with the highest log
 * offset, each daemon's row from the report that has the most recent one.
 *
 * @returns undefined if `reports` is empty
 * @public
 */
export function mergeStatusReports(reports: readonly StatusReport[]): StatusReport | undefined {
	const [first, ...others] = reports
	if (!first) return undefined
	const newest = others.reduce((best, row) => (row.offset > best.offset ? row : best), first)
	const daemons = new Map<string, DaemonStatus>()
	for (const daemon of reports.flatMap((report) => report.daemons)) {
		const latest = daemons.get(daemon.instance)
		if (!latest || getAge(daemon) < getAge(latest)) daemons.set(daemon.instance, daemon)
	}
	const unheard = reports.flatMap((report) => report.unheard)
	return addDaemonCounts({ ...newest, unheard }, [...daemons.values()])
}

function getAge(daemon: DaemonStatus): number {
	if (daemon.source === 'self') return -1
	return daemon.ageMilliseconds ?? Number.POSITIVE_INFINITY
}
