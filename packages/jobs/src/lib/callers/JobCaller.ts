import type { QueueRules } from '@mastichead/core'

/**
 * Who asks about a job, and through which queue.
 *
 * @public
 */
export interface JobCaller {
	readonly team: string
	readonly queue: Pick<QueueRules, 'name' | 'host' | 'pathPrefix' | 'public'>
}
