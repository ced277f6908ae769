import type { BackendRow } from './BackendRow.js'

/**
 * Whether a backend server may run something: a placed task, or a recorded run of a job that has not been read.
 *
 * @public
 */
export function hasRuns({ tasks, unreadRuns }: BackendRow): boolean {
	return tasks.size > 0 || unreadRuns.size > 0
}
