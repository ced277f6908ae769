import type { Job } from '@mastichead/core'
import { isJobOfQueue } from '../log/isJobOfQueue.js'
import type { JobCaller } from './JobCaller.js'

/**
 * Whether a caller may read and cancel a job: it is of the caller's queue and team. The jobs of a public
 * queue are open to all.
 *
 * @public
 */
export function mayReachJob(job: Job, { team, queue }: JobCaller): boolean {
	return isJobOfQueue(job, queue.name, queue) && (queue.public || job.team === team)
}
