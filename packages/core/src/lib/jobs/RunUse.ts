import type { Resources } from './Resources.js'

/**
 * What a run uses, as it is recorded with its placement, for an owner that has not read its job.
 *
 * @public
 */
export interface RunUse {
	readonly occurrence: number
	readonly stepNumber: number
	/** Index of the task within its step and occurrence. */
	readonly index: number
	readonly team: string
	/** Resources that count for the team. */
	readonly needs: Resources
	/** Whether the task is best-effort, so that its cpu counts for no backend server. */
	readonly fills: boolean
}
