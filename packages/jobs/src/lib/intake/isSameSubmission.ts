import { isDeepStrictEqual } from 'node:util'
import type { Job } from '@mastichead/core'
import { isJobOfQueue } from '../log/isJobOfQueue.js'

/**
 * Whether a submission repeats the one that a job came from: of the same team, to the same queue, and with
 * the same content. When each was accepted makes no difference.
 *
 * @internal
 */
export function isSameSubmission(existing: Job, job: Job): boolean {
	if (existing.team !== job.team) return false
	if (!isJobOfQueue(existing, job.queue, job.acceptedRules)) return false
	return isDeepStrictEqual(getContent(existing), getContent(job))
}

/** Returns what the caller sent, in the form in which records keep it. */
function getContent({ specification, steps, times, startAt, interval }: Job): unknown {
	return JSON.parse(JSON.stringify({ specification, steps, times, startAt, interval }))
}
