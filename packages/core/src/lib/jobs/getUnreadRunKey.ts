import type { UnreadRun } from './UnreadRun.js'

/**
 * Returns the id of the task of an unread run. If its record does not tell the id, returns a text that no task
 * has as its id.
 *
 * @public
 */
export function getUnreadRunKey({ job, place, use }: UnreadRun): string {
	return use ? `${job}.${use.occurrence}.${use.stepNumber}.${use.index}` : `${job}/${place}`
}
