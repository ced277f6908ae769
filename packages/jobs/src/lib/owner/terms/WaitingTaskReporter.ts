import type { BackendRow, PoolState, ReadyStep, TaskRow } from '@mastichead/core'
import {
	exceedsTeamLimit,
	explainJob,
	getBackendAvailability,
	getHostRefusal,
	getQueueRules,
	getStepMembers,
} from '@mastichead/core'
import type { OwnerContext } from './OwnerContext.js'

/** Interval of the looks at the tables, in milliseconds. */
const LOOK_INTERVAL = 250
/** Time for which a lasting task may wait for a server before a line says why, in milliseconds. */
const REPORTED_WAIT = 1_000
/** Time for which no listing may name a placed lasting task before a line says so, in milliseconds. */
const REPORTED_SILENCE = 3_000
/** Interval between two lines about the same step or task, in milliseconds. */
const REPEAT_INTERVAL = 2_000
/** Maximum number of lines of one event in one look; the steps or tasks beyond it come next time. */
const MAXIMUM_LINES = 10
/** Maximum number of tasks that one line names. */
const MAXIMUM_NAMED_TASKS = 10

interface Watch {
	readonly since: number
	reportedAt: number
}

/**
 * Writes lines about lasting tasks that do not run: why those without a server are not placed, and what
 * holds those that no listing has named for some time. Reads the tables that the planner works on.
 *
 * @public
 */
export class WaitingTaskReporter {
	/** Lasting tasks that wait or that no listing names, by task and attempt. */
	private waiting: ReadonlyMap<string, Watch> = new Map()
	private silent: ReadonlyMap<string, Watch> = new Map()
	private subscription: { cancel(): void } | undefined

	/**
	 * @param getPool - returns the pool of a service as the latest round of the machines saw it
	 * @param getLeaseExpiry - returns the time by which all leases on a server have expired
	 * @param getAppendDelay - returns for how long the log has not answered an append, in milliseconds;
	 * nothing is placed while it is long
	 */
	constructor(
		private readonly context: Pick<
			OwnerContext,
			'jobs' | 'backends' | 'timers' | 'events' | 'getConfiguration' | 'getWallTime'
		>,
		private readonly getPool: (service: string) => PoolState | undefined,
		private readonly getLeaseExpiry: (row: BackendRow) => number,
		private readonly getAppendDelay: () => number
	) {}

	/** Starts to look at the tables at an interval. */
	start(): void {
		this.subscription ??= this.context.timers.every(LOOK_INTERVAL, () => {
			this.look()
		})
	}

	stop(): void {
		this.subscription?.cancel()
		this.subscription = undefined
	}

	/** Looks at the tables once, and writes the lines that are due. */
	look(): void {
		const now = this.context.timers.now()
		const waiting = new Map<string, Watch>()
		const silent = new Map<string, Watch>()
		const dueSteps = new Map<string, TaskRow[]>()
		const dueTasks: TaskRow[] = []
		const watch = (
			watches: Map<string, Watch>,
			earlier: ReadonlyMap<string, Watch>,
			task: TaskRow
		): Watch => {
			const entry = earlier.get(getKey(task)) ?? { since: now, reportedAt: -Infinity }
			watches.set(getKey(task), entry)
			return entry
		}
		for (const task of this.getLastingTasks()) {
			if (task.phase === 'pending') {
				if (!isDue(watch(waiting, this.waiting, task), REPORTED_WAIT, now)) continue
				const key = `${task.job.job.id}.${task.occurrence}.${task.stepNumber}`
				dueSteps.set(key, [...(dueSteps.get(key) ?? []), task])
			} else if (this.isUnlisted(task)) {
				if (isDue(watch(silent, this.silent, task), REPORTED_SILENCE, now)) dueTasks.push(task)
			}
		}
		this.waiting = waiting
		this.silent = silent
		for (const [step, tasks] of [...dueSteps].slice(0, MAXIMUM_LINES))
			this.reportWaiting(step, tasks, now)
		for (const task of dueTasks.slice(0, MAXIMUM_LINES)) this.reportSilent(task, now)
	}

	private *getLastingTasks(): Generator<TaskRow> {
		for (const row of this.context.jobs.active) {
			if (!row.job.steps.some(({ lasting }) => lasting)) continue
			for (const task of row.tasks) if (task.step.lasting) yield task
		}
	}

	/** Whether no listing names the current attempt of a placed task, as far as the tables tell. */
	private isUnlisted({ phase, backend, orderState, percent }: TaskRow): boolean {
		if (phase !== 'placed' || backend === undefined) return false
		const row = this.context.backends.get(backend)
		const isSilent = !row || !row.reachable || !row.reconciled
		return isSilent || orderState !== 'confirmed' || percent === 0
	}

	private reportWaiting(key: string, tasks: readonly TaskRow[], now: number): void {
		const { getConfiguration, events } = this.context
		const [first] = tasks
		if (!first) return
		const { job, step } = first
		const reason = this.explain(first, now)
		for (const task of tasks) this.recordReport(this.waiting, task, now)
		if (reason === 'not-due' || reason === 'dependency') return
		const service = getQueueRules(job.job, getConfiguration())?.service
		const pool = service === undefined ? undefined : this.getPool(service)
		const { team } = job.job
		const rules = getConfiguration().teams.get(team)
		events.warn('lasting-task-waits', {
			step: key,
			tasks: tasks.slice(0, MAXIMUM_NAMED_TASKS).map(({ id }) => id),
			waiting: tasks.length,
			waited: Math.round(now - Math.min(...tasks.map((task) => this.getSince(task, now)))),
			reason,
			service,
			cores: step.needs.cpu / 1_000,
			maximumPerBackend: step.maximumPerBackend,
			servers: this.countServers(first, service, now),
			teamLimited: exceedsTeamLimit(rules, this.context.backends.getTeamUsage(team), step.needs),
			machines: pool?.machines.length,
			arriving: pool?.arrivingMachines,
			appendDelay: Math.round(this.getAppendDelay()),
		})
	}

	private getSince(task: TaskRow, now: number): number {
		return this.waiting.get(getKey(task))?.since ?? now
	}

	private explain({ job, stepNumber, occurrence }: TaskRow, now: number): string | undefined {
		const { backends, getConfiguration, getWallTime } = this.context
		const configuration = getConfiguration()
		const steps = explainJob(job, { backends, configuration, now, wallTime: getWallTime() })
		return steps.find((step) => step.step === stepNumber && step.occurrence === occurrence)?.reason
	}

	/** Counts a service's servers by what they say to a task: free, a refusal, or why they are not usable. */
	private countServers(
		task: TaskRow,
		service: string | undefined,
		now: number
	): Record<string, number> {
		const step: Pick<ReadyStep, 'step' | 'members'> = {
			step: task.step,
			members: getStepMembers(task),
		}
		const counts: Record<string, number> = {}
		for (const row of this.context.backends.all) {
			if (row.service !== service) continue
			const availability = getBackendAvailability(row, now)
			const answer =
				availability === 'usable' ? (getHostRefusal(step, row) ?? 'free') : availability
			// Servers that have left are of no interest.
			if (answer !== 'unregistered') counts[answer] = (counts[answer] ?? 0) + 1
		}
		return counts
	}

	private reportSilent(task: TaskRow, now: number): void {
		const { id, attempt, backend, orderState, orderStateChangedAt, stopping, percent } = task
		const row = backend === undefined ? undefined : this.context.backends.get(backend)
		const since = this.silent.get(getKey(task))?.since ?? now
		this.recordReport(this.silent, task, now)
		this.context.events.warn('lasting-task-unlisted', {
			task: id,
			attempt,
			backend,
			silence: Math.round(now - since),
			server: row ? getBackendAvailability(row, now) : 'unknown',
			orderState,
			orderStateAge: Math.round(now - orderStateChangedAt),
			stopping,
			percent,
			leasesExpireIn: row ? Math.round(this.getLeaseExpiry(row) - now) : undefined,
		})
	}

	private recordReport(watches: ReadonlyMap<string, Watch>, task: TaskRow, now: number): void {
		const entry = watches.get(getKey(task))
		if (entry) entry.reportedAt = now
	}
}

function getKey({ id, attempt }: TaskRow): string {
	return `${id}/${attempt}`
}

function isDue({ since, reportedAt }: Watch, minimum: number, now: number): boolean {
	return now - since > minimum && now - reportedAt >= REPEAT_INTERVAL
}
