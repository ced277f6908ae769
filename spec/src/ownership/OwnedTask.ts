import type { StartOrderState } from './StartOrderState.js'
import type { TaskStatus } from './TaskStatus.js'

/** A task as its owner knows it. */
export interface OwnedTask {
	readonly status: TaskStatus
	readonly orderState: StartOrderState
	/** Decision of the owner that has to be durable before the task is acted for. */
	readonly version: number
	/** Number of the owner's call that gave the last order. */
	readonly orderStateChangedAt: number
}
