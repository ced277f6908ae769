import type { DaemonStatus, StatusReport, TeamStatus, WaveStatus } from '@mastichead/core'
import type { ServerFailure } from '../client/ServerFailure.js'
import { formatDuration } from './formatDuration.js'
import { formatTable } from './formatTable.js'

const PERCENT = 100
/** Age of a daemon's last answer from the log above which a warning is shown. */
const LOG_AGE_WARNING_MILLISECONDS = 10_000

/**
 * Formats a status report as text, with problems at the top.
 *
 * @param failures - daemons that were asked and did not answer
 * @internal
 */
export function formatStatus(report: StatusReport, failures: readonly ServerFailure[]): string {
	return [
		`fleet ${report.fleet || '(none)'}, version ${report.version}, log offset ${report.offset}\n`,
		formatProblems(report, failures),
		formatTable(
			['ZONE', 'DAEMONS', 'REACHABLE', 'RUNNING', 'QUEUED'],
			report.zones.map((row) => [
				row.availabilityZone,
				row.daemons,
				row.reachableDaemons,
				row.running,
				row.queued,
			])
		),
		formatDaemons(report),
		formatTeams(report.teams),
		formatPools(report),
		formatWaves(report.waves),
		formatMoves(report),
	]
		.filter((part) => part !== '')
		.join('\n')
}

function formatProblems(report: StatusReport, failures: readonly ServerFailure[]): string {
	const lines = [
		...failures.map(({ server, reason }) => `! no answer from ${server}: ${reason}`),
		...report.daemons.flatMap((daemon) => getDaemonProblems(report, daemon)),
		...getConnectivityProblems(report),
		...report.outOfService.map(
			(row) =>
				`! ${row.backendServer} (${row.pool}, ${row.availabilityZone}) is out of service: ` +
				`${row.activity}, ${row.health}`
		),
		...report.waves
			.filter((wave) => wave.state === 'paused')
			.map((wave) => `! wave ${wave.wave} is paused: ${wave.reason}`),
	]
	return lines.map((line) => `${line}\n`).join('')
}

function getDaemonProblems(report: StatusReport, daemon: DaemonStatus): readonly string[] {
	const name = `${getInstanceName(daemon.instance)} (${daemon.availabilityZone})`
	if (!daemon.reachable) {
		return [`! ${name} is unreachable; last word ${formatAge(daemon.ageMilliseconds)}`]
	}
	if (daemon.version !== report.version) {
		return [`! ${name} has configuration version ${daemon.version}, not ${report.version}`]
	}
	if (
		daemon.logAgeMilliseconds !== undefined &&
		daemon.logAgeMilliseconds > LOG_AGE_WARNING_MILLISECONDS
	) {
		return [`! ${name} last heard from the platform's log ${formatAge(daemon.logAgeMilliseconds)}`]
	}
	return []
}

/** Returns one line for each daemon that does not hear some of the reachable daemons. */
function getConnectivityProblems({ daemons, unheard }: StatusReport): readonly string[] {
	const reachable = new Set(daemons.filter((row) => row.reachable).map((row) => row.instance))
	return daemons.flatMap(({ instance }) => {
		const rows = unheard.filter((row) => row.by === instance && reachable.has(row.instance))
		if (rows.length === 0) return []
		const names = rows.map(
			(row) => `${getInstanceName(row.instance)} (last word ${formatAge(row.ageMilliseconds)})`
		)
		return [`! ${getInstanceName(instance)} does not hear ${names.join(', ')}`]
	})
}

function formatAge(milliseconds: number | undefined): string {
	return milliseconds === undefined ? 'never' : `${formatDuration(milliseconds)} ago`
}

function formatDaemons({ daemons }: StatusReport): string {
	return formatTable(
		['DAEMON', 'ZONE', 'STATE', 'LAST WORD', 'VERSION', 'OFFSET', 'LOG SEEN', 'RUNNING', 'QUEUED'],
		daemons.map((row) => [
			row.instance,
			row.availabilityZone,
			getState(row),
			row.source === 'self' ? 'now' : formatAge(row.ageMilliseconds),
			row.version,
			row.offset,
			row.logAgeMilliseconds === undefined ? '-' : formatAge(row.logAgeMilliseconds),
			row.teams.reduce((sum, team) => sum + team.running, 0),
			row.teams.reduce((sum, team) => sum + team.queued, 0),
		])
	)
}

function getState(daemon: DaemonStatus): string {
	if (!daemon.reachable) return 'unreachable'
	return daemon.leaving ? 'leaving' : 'serving'
}

function formatTeams(teams: readonly TeamStatus[]): string {
	return formatTable(
		['TEAM', 'RUNNING', 'LIMIT', 'QUEUED', 'SHARE', 'REACHED', 'ALLOWANCE HELD'],
		teams.map((row) => [
			row.team,
			row.running,
			row.limit,
			row.queued,
			formatPercent(row.sharePart),
			formatPercent(row.reachedPart),
			row.allowances
				.map(({ instance, units }) => `${getInstanceName(instance)}:${units}`)
				.join(' ') || '-',
		])
	)
}

function formatPools({ pools }: StatusReport): string {
	return formatTable(
		['POOL', 'RUNNING', 'QUEUED', 'SLOTS', 'AVAILABLE', 'MINIMUM', 'OUT', 'MAXIMUM OUT'],
		pools.map((row) => [
			row.spare ? `${row.pool} (spare)` : row.pool,
			row.running,
			row.queued,
			row.slots,
			row.available,
			row.minimumAvailable,
			row.unavailable,
			row.maximumUnavailable,
		])
	)
}

function formatWaves(waves: readonly WaveStatus[]): string {
	if (waves.length === 0) return ''
	return formatTable(
		['WAVE', 'STATE', 'DONE', 'FAILED', 'OUT', 'WAITING', 'NEXT', 'WAITS FOR'],
		waves.map((row) => [
			row.wave,
			row.state,
			row.steps.done,
			row.steps.failed,
			row.out.join(' ') || '-',
			row.steps.waiting,
			row.next?.backendServer ?? '-',
			row.next?.waitsFor ?? '-',
		])
	)
}

function formatMoves({ moves }: StatusReport): string {
	if (moves.length === 0) return ''
	return formatTable(
		['MOVE', 'FROM', 'TO', 'STEP'],
		moves.map((row) => [row.backendServer, row.from, row.to, row.step])
	)
}

/** Returns the name of an instance without the suffix of its incarnation. */
function getInstanceName(instance: string): string {
	return instance.replace(/\.[0-9a-f]{12}$/, '')
}

function formatPercent(ratio: number): string {
	return `${Math.round(ratio * PERCENT)}%`
}
