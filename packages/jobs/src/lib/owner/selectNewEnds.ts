import type { TaskId } from '@mastichead/core'
import type { RunListing } from '../ports/RunListing.js'

type Ends = RunListing['ended']

/**
 * Picks the ends of a listing that can be taken in. One of a task that may yet become known is left
 * in the backend server's list, which is acknowledged only up to it; later ones count all the same.
 *
 * @param seen - number of the latest end that was taken in before
 * @param mayBeUnread - whether the task's job may be one that could not be read yet
 * @returns the ends in their order, and the number up to which the list may be acknowledged
 * @internal
 */
export function selectNewEnds(
	ended: Ends,
	seen: number,
	mayBeUnread: (task: TaskId) => boolean
): { readonly ends: Ends; readonly seen: number } {
	const news = ended.filter((end) => end.number > seen).sort((a, b) => a.number - b.number)
	const ends = news.filter((end) => !mayBeUnread(end.task))
	const held = news.find((end) => mayBeUnread(end.task))
	const last = news.at(-1)?.number ?? seen
	return { ends, seen: held ? held.number - 1 : last }
}
