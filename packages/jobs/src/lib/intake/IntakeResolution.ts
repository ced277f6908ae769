import type { Job } from '@mastichead/core'
import type { CancellationScope } from './CancellationScope.js'

/**
 * What the records about an id amount to.
 *
 * @public
 */
export interface IntakeResolution {
	/** The one job that has the id; undefined if there is none. */
	readonly job: Job | undefined
	/** Whether that job was cancelled. */
	readonly cancelled: boolean
	/** Cancellations without a job before them; submissions in their scope that come later have no effect. */
	readonly barriers: readonly CancellationScope[]
}
