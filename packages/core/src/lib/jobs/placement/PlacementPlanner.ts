import type { ArrivingMachines } from '../pools/ArrivingMachines.js'
import type { BackendScorer } from './BackendScorer.js'
import type { BackendRow } from '../BackendRow.js'
import type { BackendTable } from '../BackendTable.js'
import type { FleetConfiguration } from '../FleetConfiguration.js'
import type { JobTable } from '../JobTable.js'
import type { JobId } from '../JobId.js'
import type { SchedulingCandidate } from './SchedulingCandidate.js'
import type { RankedCandidate } from './RankedCandidate.js'
import type { SchedulingPolicy } from './SchedulingPolicy.js'
import type { ServiceLoad } from '../pools/ServiceLoad.js'
import type { TaskPlacement } from './TaskPlacement.js'
import type { ReadyStep } from './ReadyStep.js'
import type { TaskRow } from '../TaskRow.js'
import { LargestRoom } from './LargestRoom.js'
import { ProbationPlan } from '../health/ProbationPlan.js'
import { BackfillReservations } from '../lookahead/BackfillReservations.js'
import { EstimatedRunTimes } from '../lookahead/EstimatedRunTimes.js'
import { ExpectedEnds } from '../lookahead/ExpectedEnds.js'
import type { ReservationPolicy } from '../lookahead/ReservationPolicy.js'
import type { RunTimes } from '../lookahead/RunTimes.js'
import { UsableBackends } from './UsableBackends.js'
import { countMissingMachines } from '../pools/countMissingMachines.js'
import { exceedsTeamLimit } from './exceedsTeamLimit.js'
import { getHostRefusal } from './getHostRefusal.js'
import { getPendingCores } from '../pools/getPendingCores.js'
import { getQueueRules } from '../getQueueRules.js'
import { getReadySteps } from './getReadySteps.js'
import { getRemainingWork } from '../work/getRemainingWork.js'
import { getReservedResources } from './getReservedResources.js'
import { getServiceLoad } from '../pools/getServiceLoad.js'
import { hasRoom } from './hasRoom.js'
import { selectHeldBackend } from './selectHeldBackend.js'

const noArrivingMachines: ArrivingMachines = { cores: 0, delay: 0 }
/** Penalty for the server on which the task last failed; outweighs all terms of a scorer. */
const FAILED_BACKEND_PENALTY = 100

/**
 * Assigns pending tasks to backend servers. Updates the tables: a placed task gets a backend server
 * and a new attempt number.
 *
 * @public
 */
export class PlacementPlanner {
	/** Cores that the latest plan could not place, by service, for jobs that can finish on time. */
	readonly backlog = new Map<string, number>()
	/** Cores that the latest plan could not place, by service, for late jobs. */
	readonly lateBacklog = new Map<string, number>()
	/** Further machines that lasting tasks need, which no usable server will have room for, by service. */
	readonly missingMachines = new Map<string, number>()
	/** Jobs with pending tasks that can no longer finish on time. */
	readonly lateJobs = new Set<JobId>()
	private readonly probations = new ProbationPlan()
	/**
	 * Servers that the latest plan gave no tasks that end by themselves, because a lasting task that fits
	 * on no server waits for room there.
	 */
	private readonly heldBackends = new Set<BackendRow>()
	private readonly largestRoom = new LargestRoom()
	private readonly ends: ExpectedEnds
	private readonly reservations: ReservationPolicy

	constructor(
		private readonly jobs: JobTable,
		private readonly backends: BackendTable,
		private readonly policy: SchedulingPolicy,
		private readonly scorer: BackendScorer,
		private readonly runTimes: RunTimes = new EstimatedRunTimes()
	) {
		this.ends = new ExpectedEnds(runTimes)
		this.reservations = new BackfillReservations(this.ends)
	}

	/**
	 * Places as many pending tasks as possible.
	 *
	 * @param now - time on the owner's monotonic clock, in milliseconds
	 * @param wallTime - milliseconds since 1970
	 * @param getMachineLimit - returns how many machines of a service short tasks may use, those of late jobs
	 * or those of all; undefined means no limit
	 * @param getArrivingMachines - returns the machines that are on their way to a service's pool
	 */
	plan(
		configuration: FleetConfiguration,
		now: number,
		wallTime: number,
		getMachineLimit: (service: string, isLate: boolean) => number | undefined = () => undefined,
		getArrivingMachines: (service: string) => ArrivingMachines = () => noArrivingMachines
	): TaskPlacement[] {
		const placements: TaskPlacement[] = []
		const usable = new UsableBackends(this.backends.all, now, getMachineLimit)
		this.backlog.clear()
		this.lateBacklog.clear()
		this.missingMachines.clear()
		this.lateJobs.clear()
		this.heldBackends.clear()
		this.probations.clear()
		this.largestRoom.clear()
		this.ends.reset(now)
		this.reservations.reset(now)
		const loads = new Map<string, ServiceLoad>()
		for (const service of usable.services) {
			const backends = usable.getForShortTasks(service, false)
			loads.set(service, getServiceLoad(backends, getArrivingMachines(service), this.runTimes))
		}
		const ranked = this.rankReadySteps(configuration, loads, now, wallTime)
		for (const { readyStep, queue } of ranked) {
			const backends = usable.get(queue.service)
			placements.push(...this.placeSuspects(readyStep, backends, configuration))
		}
		for (const candidate of ranked.map(withoutSuspects)) {
			const { readyStep, queue, isLate } = candidate
			if (isLate) this.lateJobs.add(readyStep.row.job.id)
			if (readyStep.pending.length === 0) continue
			const backends = readyStep.step.lasting
				? usable.get(queue.service)
				: usable.getForShortTasks(queue.service, isLate)
			const placed = this.placeStep(readyStep, backends, configuration)
			placements.push(...placed)
			if (placed.length === readyStep.pending.length) continue
			this.holdRoom(candidate, backends, configuration)
			this.addToBacklog(candidate, configuration)
		}
		return placements
	}

	/**
	 * Adds the cores of a step's unplaced tasks to the backlog of its service. Skips steps that wait for
	 * their team's limit, since more machines would not help them.
	 */
	private addToBacklog(candidate: RankedCandidate, configuration: FleetConfiguration): void {
		const { readyStep, queue, isLate } = candidate
		const { team } = readyStep.row.job
		const used = this.backends.getTeamUsage(team)
		if (exceedsTeamLimit(configuration.teams.get(team), used, readyStep.step.needs)) return
		const backlog = isLate ? this.lateBacklog : this.backlog
		backlog.set(queue.service, (backlog.get(queue.service) ?? 0) + getPendingCores(readyStep))
	}

	private rankReadySteps(
		configuration: FleetConfiguration,
		loads: ReadonlyMap<string, ServiceLoad>,
		now: number,
		wallTime: number
	): RankedCandidate[] {
		const candidates: SchedulingCandidate[] = []
		for (const row of this.jobs.active) {
			const queue = getQueueRules(row.job, configuration)
			if (!queue) continue
			const readySteps = getReadySteps(row, now, wallTime)
			for (const readyStep of readySteps) candidates.push({ readyStep, queue })
			if (readySteps.length > 0 || row.job.times > 0) continue
			loads.get(queue.service)?.blockedJobs.push(getRemainingWork(row, 0, queue, this.runTimes))
		}
		const getWeight = (team: string): number => configuration.teams.get(team)?.weight ?? 1
		return this.policy.rank(candidates, loads, wallTime, getWeight)
	}

	/**
	 * Places the tasks of a step that may have crashed backend servers, before all others, so that other
	 * starts do not keep them waiting for a server where nothing has just been started.
	 */
	private placeSuspects(
		readyStep: ReadyStep,
		usable: readonly BackendRow[],
		configuration: FleetConfiguration
	): TaskPlacement[] {
		const placements: TaskPlacement[] = []
		const { row, step } = readyStep
		const rules = configuration.teams.get(row.job.team)
		for (const task of readyStep.pending) {
			if (!task.isSuspected) continue
			const used = this.backends.getTeamUsage(row.job.team)
			if (exceedsTeamLimit(rules, used, step.needs)) break
			const backend = this.selectBackend(readyStep, task, usable, configuration)
			if (!backend) {
				this.probations.awaitOne(task, getPossibleHosts(readyStep, usable), usable)
				break
			}
			if (step.gang || !this.probations.mayUse(task, backend, usable)) break
			this.assign(task, backend, task.attempt + 1)
			placements.push({ task, backend, attempt: task.attempt })
		}
		return placements
	}

	private placeStep(
		readyStep: ReadyStep,
		usable: readonly BackendRow[],
		configuration: FleetConfiguration
	): TaskPlacement[] {
		const placements: TaskPlacement[] = []
		const isGang = readyStep.step.gang
		const gangAttempt = isGang ? Math.max(...readyStep.members.map(({ attempt }) => attempt)) : 0
		for (const task of getPlacementOrder(readyStep)) {
			const backend = this.selectBackend(readyStep, task, usable, configuration)
			if (!backend) break
			this.assign(task, backend, 1 + (isGang ? gangAttempt : task.attempt))
			this.reservations.recordPlacement(readyStep, backend)
			placements.push({ task, backend, attempt: task.attempt })
		}
		if (!readyStep.step.gang || placements.length === readyStep.pending.length) return placements
		for (const placement of placements) this.unassign(placement)
		return []
	}

	/**
	 * Holds room for a step with unplaced tasks, which no server can take now: where tasks end soon, or on
	 * one server for a lasting step. If none will have room for that, the pool is to get machines for it.
	 */
	private holdRoom(
		{ readyStep, queue, isLate }: RankedCandidate,
		usable: readonly BackendRow[],
		configuration: FleetConfiguration
	): void {
		const { step, row } = readyStep
		const { team } = row.job
		const used = this.backends.getTeamUsage(team)
		if (step.gang || exceedsTeamLimit(configuration.teams.get(team), used, step.needs)) return
		if (!step.lasting) {
			if (!isLate) this.reservations.reserve(readyStep, usable)
			return
		}
		const held = selectHeldBackend(readyStep, usable)
		if (held) {
			this.heldBackends.add(held)
			return
		}
		const missing = countMissingMachines(readyStep, usable)
		const most = Math.max(missing, this.missingMachines.get(queue.service) ?? 0)
		this.missingMachines.set(queue.service, most)
	}

	/** Prefers any other backend server to the one where the task last failed. */
	private selectBackend(
		readyStep: ReadyStep,
		task: TaskRow,
		usable: readonly BackendRow[],
		configuration: FleetConfiguration
	): BackendRow | undefined {
		const { team } = readyStep.row.job
		const { step } = readyStep
		const rules = configuration.teams.get(team)
		if (exceedsTeamLimit(rules, this.backends.getTeamUsage(team), step.needs)) return undefined
		const needs = getReservedResources(step)
		if (!this.largestRoom.mayFit(needs, usable)) return undefined
		let best: BackendRow | undefined
		let bestScore = -Infinity
		for (const backend of usable) {
			if (!hasRoom(needs, backend)) continue
			if (getHostRefusal(readyStep, backend)) continue
			if (!step.lasting && this.heldBackends.has(backend)) continue
			if (!this.reservations.allows(readyStep, backend)) continue
			const baseScore = task.isSuspected
				? this.probations.getScore(task, backend)
				: this.getScore(readyStep, backend)
			const score = backend.id === task.failedOn ? baseScore - FAILED_BACKEND_PENALTY : baseScore
			if (score <= bestScore || !this.probations.allows(task, backend)) continue
			best = backend
			bestScore = score
		}
		return best
	}

	private getScore(readyStep: ReadyStep, backend: BackendRow): number {
		const { row, step } = readyStep
		const overhang = this.ends.getOverhang(backend, row.job, step)
		return this.scorer.getScore(readyStep, backend, overhang)
	}

	private assign(task: TaskRow, backend: BackendRow, attempt: number): void {
		task.phase = 'placed'
		task.attempt = attempt
		task.backend = backend.id
		task.orderState = 'recorded'
		task.startedAt = Infinity
		task.isStartTimed = false
		task.listedAt = -Infinity
		task.stopping = false
		task.interrupting = false
		task.percent = 0
		task.availableSince = undefined
		this.backends.assign(task)
		this.largestRoom.clear()
		this.probations.update(backend)
		this.ends.update(backend)
	}

	private unassign({ task, backend }: TaskPlacement): void {
		this.backends.release(task)
		this.largestRoom.clear()
		this.probations.update(backend)
		this.ends.update(backend)
		task.phase = 'pending'
		task.attempt -= 1
	}
}

/** Returns the pending tasks of a step, those that may have crashed servers first. */
function getPlacementOrder({ pending }: ReadyStep): readonly TaskRow[] {
	if (!pending.some(({ isSuspected }) => isSuspected)) return pending
	return pending.toSorted((a, b) => Number(b.isSuspected) - Number(a.isSuspected))
}

/**
 * Leaves out the tasks that may have crashed servers, which `placeSuspects` has dealt with, except those
 * of gangs, which are placed with their gang.
 */
function withoutSuspects(candidate: RankedCandidate): RankedCandidate {
	const { readyStep } = candidate
	const { step, pending } = readyStep
	if (step.gang || !pending.some(({ isSuspected }) => isSuspected)) return candidate
	return {
		...candidate,
		readyStep: { ...readyStep, pending: pending.filter(({ isSuspected }) => !isSuspected) },
	}
}

/** Returns the servers that can host a task of a step now, or as soon as other tasks there have ended. */
function getPossibleHosts(readyStep: ReadyStep, usable: readonly BackendRow[]): BackendRow[] {
	return usable.filter((backend) => {
		const refusal = getHostRefusal(readyStep, backend)
		return refusal === undefined || refusal === 'room'
	})
}
