/**
 * What each placed task of a step uses, as part of a progress record. What is 0 or false is left out.
 *
 * @public
 */
export interface StepRecord {
	/** Index of the step's first task in the job's list of tasks. */
	readonly first: number
	readonly occurrence?: number
	readonly step?: number
	/** Millicores. */
	readonly cpu?: number
	/** Megabytes. */
	readonly memory?: number
	/** Number of devices. */
	readonly gpu?: number
	/** Whether the tasks are best-effort. */
	readonly fills?: true
}
