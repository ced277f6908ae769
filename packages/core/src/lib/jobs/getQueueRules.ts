import type { FleetConfiguration } from './FleetConfiguration.js'
import type { Job } from './Job.js'
import type { QueueRules } from './QueueRules.js'

/**
 * Returns the rules of a job's queue: those in force, or those under which the job was accepted if its queue
 * is not configured any more. Undefined if neither is known.
 *
 * @public
 */
export function getQueueRules(
	{ queue, acceptedRules }: Pick<Job, 'queue' | 'acceptedRules'>,
	{ queues }: Pick<FleetConfiguration, 'queues'>
): QueueRules | undefined {
	return queues.get(queue) ?? acceptedRules
}
