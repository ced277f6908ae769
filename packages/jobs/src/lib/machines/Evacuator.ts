import type { BackendRow, TaskRow } from '@mastichead/core'
import {
	canDisruptTask,
	getBackendAvailability,
	getHostRefusal,
	getStepMembers,
	isTaskAvailable,
} from '@mastichead/core'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'

/**
 * Stops lasting tasks on backend servers that are cordoned, draining or in an availability zone that is
 * being evacuated, as many at a time as their steps allow. The tasks are placed on other servers once
 * they have ended.
 *
 * @public
 */
export class Evacuator {
	constructor(
		private readonly context: OwnerContext,
		private readonly stopTask: (task: TaskRow) => void
	) {}

	/** Stops the tasks that may be stopped now. */
	evacuate(): void {
		const { backends } = this.context
		for (const row of backends.all) {
			if (!row.cordoned && !row.draining && !row.evacuated) continue
			for (const task of row.tasks.values()) {
				if (!task.step.lasting || !isTaskAvailable(task)) continue
				if (!canDisruptTask(task)) continue
				if (row.cordoned || row.draining || this.hasOtherHost(task, row)) this.stop(task, row)
			}
		}
	}

	private stop(task: TaskRow, { id: backend, zone, draining, evacuated }: BackendRow): void {
		const { events, metrics } = this.context
		events.info('task-evacuated', { task: task.id, backend, zone, draining, evacuated })
		metrics.count('evacuated_tasks', evacuated ? 'zone' : 'server')
		this.stopTask(task)
	}

	/**
	 * Whether another server has room for a task now. A server in an evacuated zone goes on running what
	 * it has, so a task there is better off staying than waiting for room.
	 */
	private hasOtherHost(task: TaskRow, { id, service }: BackendRow): boolean {
		const { backends, timers } = this.context
		const now = timers.now()
		const step = { step: task.step, members: getStepMembers(task) }
		for (const other of backends.all) {
			if (other.id === id || other.service !== service) continue
			if (getBackendAvailability(other, now) !== 'usable') continue
			if (getHostRefusal(step, other) === undefined) return true
		}
		return false
	}
}
