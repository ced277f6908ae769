import type { RunEnding, TaskId } from '@mastichead/core'

/**
 * What a backend server says of its runs.
 *
 * @public
 */
export interface RunListing {
	/** The server's clock, in milliseconds. */
	readonly clock: number
	/** Start of the server's process, in milliseconds since 1970. */
	readonly incarnation: number
	readonly running: readonly {
		readonly task: TaskId
		readonly attempt: number
		readonly checkpoint: string
		/** Progress, or share of full speed; 0 to 100. */
		readonly percent: number
		/** Tail latency of a task that serves, in milliseconds; else cpu in use. */
		readonly load: number
	}[]
	readonly ended: readonly {
		/** Number of the end in this incarnation, from 1. */
		readonly number: number
		readonly task: TaskId
		readonly attempt: number
		readonly ending: RunEnding
		readonly checkpoint: string
	}[]
}
