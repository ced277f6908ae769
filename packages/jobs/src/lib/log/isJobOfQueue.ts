import type { Job, QueueRules } from '@mastichead/core'

/**
 * Whether a job was accepted for a queue.
 *
 * @param prefix - where callers reach the queue; a job accepted there under another name is of it as well
 * @public
 */
export function isJobOfQueue(
	{ queue, acceptedRules }: Job,
	name: string,
	prefix?: Pick<QueueRules, 'host' | 'pathPrefix'>
): boolean {
	if (queue === name) return true
	if (!acceptedRules || !prefix) return false
	return acceptedRules.host === prefix.host && acceptedRules.pathPrefix === prefix.pathPrefix
}
