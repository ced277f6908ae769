import type { BackendScorer } from './BackendScorer.js'
import type { BackendRow } from './BackendRow.js'
import type { BackendTable } from './BackendTable.js'
import type { FleetConfiguration } from './FleetConfiguration.js'
import type { JobTable } from './JobTable.js'
import type { JobId } from './JobId.js'
import type { SchedulingCandidate } from './SchedulingCandidate.js'
import type { RankedCandidate } from './RankedCandidate.js'
import type { SchedulingPolicy } from './SchedulingPolicy.js'
import type { TaskPlacement } from './TaskPlacement.js'
import type { ReadyStep } from './ReadyStep.js'
import type { TaskRow } from './TaskRow.js'
import { exceedsTeamLimit } from './exceedsTeamLimit.js'
import { fitsWithin } from './fitsWithin.js'
import { getReservedResources } from './getReservedResources.js'
import { getPendingCores } from './getPendingCores.js'
import { getReadySteps } from './getReadySteps.js'

const MILLICORES_PER_CORE = 1_000
/** Above every other preference. */
const FAILED_PENALTY = 100

/**
 * Places waiting tasks on backend servers. Changes the tables: a placed task has its backend
 * server and a new attempt number.
 *
 * @public
 */
export class PlacementPlanner {
	/** Cores of tasks that the latest plan found no room for, by service: of jobs that can be in time. */
	readonly backlog = new Map<string, number>()
	/** The same of jobs that cannot be in time any more. */
	readonly lateBacklog = new Map<string, number>()
	/** Jobs with waiting tasks that cannot be in time any more. */
	readonly lateJobs = new Set<JobId>()

	constructor(
		private readonly jobs: JobTable,
		private readonly backends: BackendTable,
		private readonly policy: SchedulingPolicy,
		private readonly scorer: BackendScorer
	) {}

	/**
	 * @param now - instant of the owner's monotonic clock, in milliseconds
	 * @param wallTime - milliseconds since 1970
	 * @param getLateMachines - machines of a service that late work may use; undefined for all
	 */
	plan(
		configuration: FleetConfiguration,
		now: number,
		wallTime: number,
		getLateMachines: (service: string) => number | undefined = () => undefined
	): TaskPlacement[] {
		const placements: TaskPlacement[] = []
		const open = this.getUsableBackends(now)
		const openToLate = new Map<string, readonly BackendRow[]>()
		const getPlaces = ({ queue, isLate: hopeless }: RankedCandidate): readonly BackendRow[] => {
			const { service } = queue
			const all = open.get(service) ?? []
			if (!hopeless) return all
			const some = openToLate.get(service) ?? selectFullest(all, getLateMachines(service))
			openToLate.set(service, some)
			return some
		}
		this.backlog.clear()
		this.lateBacklog.clear()
		this.lateJobs.clear()
		for (const candidate of this.rankReadySteps(configuration, sumCores(open), now, wallTime)) {
			const { readyStep: run, isLate: hopeless } = candidate
			if (hopeless) this.lateJobs.add(run.row.job.id)
			const placed = this.placeStep(run, getPlaces(candidate), configuration)
			placements.push(...placed)
			if (placed.length < run.pending.length) this.addToBacklog(candidate, configuration)
		}
		return placements
	}

	/** What waits for its team's limit would not be helped by more machines. */
	private addToBacklog(candidate: RankedCandidate, configuration: FleetConfiguration): void {
		const { readyStep: run, queue, isLate: hopeless } = candidate
		const { team } = run.row.job
		const used = this.backends.getTeamUsage(team)
		if (exceedsTeamLimit(configuration.teams.get(team), used, run.step.needs)) return
		const backlog = hopeless ? this.lateBacklog : this.backlog
		backlog.set(queue.service, (backlog.get(queue.service) ?? 0) + getPendingCores(run))
	}

	private getUsableBackends(now: number): Map<string, readonly BackendRow[]> {
		const candidates = new Map<string, BackendRow[]>()
		for (const backend of this.backends.all) {
			if (!backend.registered || backend.draining || backend.cordoned) continue
			if (!backend.reconciled || !backend.reachable || backend.avoidedUntil > now) continue
			const list = candidates.get(backend.service)
			if (list) list.push(backend)
			else candidates.set(backend.service, [backend])
		}
		return candidates
	}

	private rankReadySteps(
		configuration: FleetConfiguration,
		cores: ReadonlyMap<string, number>,
		now: number,
		wallTime: number
	): RankedCandidate[] {
		const candidates: SchedulingCandidate[] = []
		for (const row of this.jobs.active) {
			const queue = configuration.queues.get(row.job.queue)
			if (!queue) continue
			for (const run of getReadySteps(row, now, wallTime))
				candidates.push({ readyStep: run, queue })
		}
		return this.policy.rank(candidates, cores, wallTime)
	}

	private placeStep(
		run: ReadyStep,
		open: readonly BackendRow[],
		configuration: FleetConfiguration
	): TaskPlacement[] {
		const placements: TaskPlacement[] = []
		const attempt = 1 + Math.max(...run.members.map((member) => member.attempt))
		for (const task of run.pending) {
			const backend = this.selectBackend(run, task, open, configuration)
			if (!backend) break
			this.assign(task, backend, run.step.gang ? attempt : task.attempt + 1)
			placements.push({ task, backend, attempt: task.attempt })
		}
		if (!run.step.gang || placements.length === run.pending.length) return placements
		for (const { task } of placements) this.unassign(task)
		return []
	}

	/** Where a run of the task has failed is the last choice. */
	private selectBackend(
		run: ReadyStep,
		task: TaskRow,
		open: readonly BackendRow[],
		configuration: FleetConfiguration
	): BackendRow | undefined {
		const { team } = run.row.job
		const { step } = run
		const rules = configuration.teams.get(team)
		if (exceedsTeamLimit(rules, this.backends.getTeamUsage(team), step.needs)) return undefined
		let best: BackendRow | undefined
		let bestScore = -Infinity
		for (const backend of open) {
			if (!canHost(run, backend)) continue
			const preference = this.scorer.getScore(run, backend)
			const score = backend.id === task.failedOn ? preference - FAILED_PENALTY : preference
			if (score <= bestScore) continue
			best = backend
			bestScore = score
		}
		return best
	}

	private assign(task: TaskRow, backend: BackendRow, attempt: number): void {
		task.phase = 'placed'
		task.attempt = attempt
		task.backend = backend.id
		task.orderState = 'recorded'
		task.stopping = false
		task.percent = 0
		task.availableSince = undefined
		this.backends.assign(task)
	}

	private unassign(task: TaskRow): void {
		this.backends.release(task)
		task.phase = 'pending'
		task.attempt -= 1
	}
}

/** The backend servers with most in use: the others can be emptied. */
function selectFullest(
	backends: readonly BackendRow[],
	most: number | undefined
): readonly BackendRow[] {
	if (most === undefined || most >= backends.length) return backends
	return backends.toSorted((a, b) => b.used.cpu - a.used.cpu).slice(0, most)
}

function canHost(run: ReadyStep, backend: BackendRow): boolean {
	const { step } = run
	if (step.requiredLabel !== '' && !backend.labels.includes(step.requiredLabel)) return false
	if (!fitsWithin(getReservedResources(step), backend.used, backend.capacity)) return false
	if (step.maximumPerBackend === 0) return true
	const here = run.members.filter((member) => member.backend === backend.id)
	return here.length < step.maximumPerBackend
}

function sumCores(open: ReadonlyMap<string, readonly BackendRow[]>): Map<string, number> {
	const cores = new Map<string, number>()
	for (const [service, rows] of open) {
		cores.set(
			service,
			rows.reduce((sum, row) => sum + row.capacity.cpu / MILLICORES_PER_CORE, 0)
		)
	}
	return cores
}
