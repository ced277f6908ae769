import type { TaskRow } from '@mastichead/core'
import { isTaskAvailable, canDisruptTask } from '@mastichead/core'
import type { OwnerContext } from '../owner/OwnerContext.js'

/**
 * Takes lasting tasks off backend servers that are being emptied or shut down, as many at a time
 * as their steps allow. They are placed again elsewhere once their end is known.
 *
 * @public
 */
export class Evacuator {
	constructor(
		private readonly context: OwnerContext,
		private readonly stopTask: (task: TaskRow) => void
	) {}

	/** Stops what may be stopped now. */
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
