import type { RunEnding, TaskId } from '@mastichead/core'

/**
 * The runs on a backend server, as the server lists them.
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
		/** Progress, or speed as a percentage of full speed; 0 to 100. */
		readonly percent: number
		/** Tail latency in milliseconds of a task that serves requests; CPU usage of other tasks. */
		readonly load: number
	}[]
	/**
	 * Whether it names every run and end: a server lists a limited number of ends at a time, and rows may
	 * be unreadable. Otherwise a task that it does not name may run, or have ended, there.
	 */
	readonly isComplete: boolean
	readonly ended: readonly {
		/** Number of the end within this incarnation of the server, from 1. */
		readonly number: number
		readonly task: TaskId
		readonly attempt: number
		readonly ending: RunEnding
		readonly checkpoint: string
	}[]
}
