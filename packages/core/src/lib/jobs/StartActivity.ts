import type { JobRow } from './JobRow.js'

/**
 * What has just been started on a backend server.
 *
 * @public
 */
export interface StartActivity {
	/** Jobs with tasks there that have not survived their starts yet. */
	readonly jobs: ReadonlySet<JobRow>
	/** Whether one of these tasks may have crashed servers before. */
	readonly hasSuspects: boolean
}
