import type { StartOrderState } from './StartOrderState.js'
import type { TaskStatus } from './TaskStatus.js'

/** What an owner knows of a task. */
export interface OwnedTask {
	readonly status: TaskStatus
	readonly orderState: StartOrderState
	/** `version` of the owner that must be durable before the owner sends an order for the task. */
	readonly version: number
	/**
	 * `listingCount` of the owner when the task or its order last changed; -1 if inherited. Listings
	 * up to this number were requested earlier and say nothing about the order.
	 */
	readonly orderStateChangedAt: number
}
