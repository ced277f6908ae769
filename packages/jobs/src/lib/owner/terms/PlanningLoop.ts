import type { ArrivingMachines, BackendId, PlacementPlanner, TaskPlacement } from '@mastichead/core'
import type { OrderDispatcher } from '../monitoring/OrderDispatcher.js'
import type { OwnerContext } from './OwnerContext.js'
import type { ProgressWriter } from './ProgressWriter.js'
import type { TaskUpdater } from '../monitoring/TaskUpdater.js'

/**
 * Bounds of the delay from a change to the next plan, in milliseconds, so that one plan covers several
 * changes.
 */
const MINIMUM_PLAN_DELAY = 4
const MAXIMUM_PLAN_DELAY = 60
/** Within these bounds, the delay is this multiple of the latest plan's time, which leaves time for orders. */
const PLAN_DELAY_FACTOR = 2
/** Interval of periodic plans for tasks that become due, in milliseconds. */
const PLAN_INTERVAL = 200
/** Time without an answer to an append after which nothing is placed, in milliseconds. */
const MAXIMUM_APPEND_DELAY = 1_000

/**
 * Places pending tasks after each change and at intervals, and orders their starts once the placements
 * are durable.
 *
 * @internal
 */
export class PlanningLoop {
	private timer: { cancel(): void } | undefined
	private isScheduled = false
	/** Time that the latest plan took, in milliseconds. */
	private planTime = 0

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly planner: PlacementPlanner
			readonly writer: ProgressWriter
			readonly taskUpdater: TaskUpdater
			readonly dispatcher: OrderDispatcher
			readonly getMachineLimit: (service: string, isLate: boolean) => number | undefined
			readonly getArrivingMachines: (service: string) => ArrivingMachines
			readonly wakeUpMonitor: (id: BackendId) => void
		}
	) {}

	/** Starts placing tasks. Calls of `schedule` before have no effect. */
	start(): void {
		this.timer = this.context.timers.every(PLAN_INTERVAL, () => {
			this.schedule()
		})
		this.schedule()
	}

	stop(): void {
		this.timer?.cancel()
		this.timer = undefined
	}

	/** Plans soon, together with other changes. */
	schedule(): void {
		if (this.isScheduled || !this.timer) return
		this.isScheduled = true
		const delay = Math.max(MINIMUM_PLAN_DELAY, this.planTime * PLAN_DELAY_FACTOR)
		this.context.timers.after(Math.min(MAXIMUM_PLAN_DELAY, delay), () => {
			this.isScheduled = false
			try {
				this.plan()
			} catch (error) {
				this.context.fail(error)
			}
		})
	}

	private plan(): void {
		const { planner, writer, getMachineLimit, getArrivingMachines } = this.options
		if (!this.timer || writer.appendDelay > MAXIMUM_APPEND_DELAY) return
		const { timers, metrics, getWallTime, getConfiguration } = this.context
		const startedAt = timers.now()
		const placements = planner.plan(
			getConfiguration(),
			startedAt,
			getWallTime(),
			getMachineLimit,
			getArrivingMachines
		)
		this.planTime = timers.now() - startedAt
		metrics.observe('plan', this.planTime)
		for (const placement of placements) this.recordPlacement(placement)
	}

	private recordPlacement(placement: TaskPlacement): void {
		const { task, backend } = placement
		const { taskUpdater, writer, dispatcher, wakeUpMonitor } = this.options
		const placedAt = this.context.timers.now()
		taskUpdater.updateJob(task.job)
		wakeUpMonitor(backend.id)
		writer.whenRecordDurable(task.job.job.id, () => {
			dispatcher.startTask(placement, placedAt).catch(this.context.fail)
		})
	}
}
