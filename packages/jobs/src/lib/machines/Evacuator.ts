import type { TaskRow } from '@mastichead/core'
import { isTaskAvailable, canDisruptTask } from '@mastichead/core'
import type { OwnerContext } from '../owner/OwnerContext.js'

/**
 * Stops lasting tasks on backend servers that are cordoned or draining, as many at a time as their
 * steps allow. The tasks are placed on other servers once they have ended.
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
		const { backends, events } = this.context
		for (const row of backends.all) {
			if (!row.cordoned && !row.draining) continue
			for (const task of row.tasks.values()) {
				if (!task.step.lasting || !isTaskAvailable(task)) continue
				if (!canDisruptTask(task)) continue
				events.info('task-evacuated', { task: task.id, backend: row.id, draining: row.draining })
				this.stopTask(task)
			}
		}
	}
}
