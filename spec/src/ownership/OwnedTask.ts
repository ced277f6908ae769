import type { Stage } from './Stage.js'
import type { TaskView } from './TaskView.js'

/** A task as its owner knows it. */
export interface OwnedTask {
	readonly view: TaskView
	readonly stage: Stage
	/** Decision of the owner that has to be durable before the task is acted for. */
	readonly version: number
	/** Number of the owner's call that gave the last order. */
	readonly orderedAt: number
}
