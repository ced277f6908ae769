import type { JobRow } from '../JobRow.js'

/**
 * What has just been started on a backend server.
 *
 * @public
 */
export interface StartActivity {
	/** Jobs with tasks there that have not survived their starts yet. */
	readonly jobs: ReadonlySet<JobRow>
	/** Time of the latest of these starts, in milliseconds; Infinity if its order is not sent yet. */
	readonly latestStart: number
	/** Whether one of these tasks may have crashed servers before. */
	readonly hasSuspects: boolean
}
