import type { TaskId } from '@mastichead/core'
import type { RunListing } from '../../ports/RunListing.js'

type Ends = RunListing['ended']

/**
 * Selects the new ends of a listing that can be processed. The end of a task whose job may not have
 * been read yet is held back: ends are acknowledged only up to it, while later ends are processed.
 *
 * @param lastProcessedEnd - number of the latest end that was processed before
 * @param mayBeUnread - whether the task may belong to a job that has not been read yet
 * @returns the ends to process, in order, and the number up to which ends may be acknowledged
 * @internal
 */
export function selectNewEnds(
	ended: Ends,
	lastProcessedEnd: number,
	mayBeUnread: (task: TaskId) => boolean
): { readonly ends: Ends; readonly lastProcessedEnd: number } {
	const newEnds = ended
		.filter((end) => end.number > lastProcessedEnd)
		.sort((a, b) => a.number - b.number)
	const ends = newEnds.filter((end) => !mayBeUnread(end.task))
	const firstHeldBack = newEnds.find((end) => mayBeUnread(end.task))
	const lastNumber = newEnds.at(-1)?.number ?? lastProcessedEnd
	return { ends, lastProcessedEnd: firstHeldBack ? firstHeldBack.number - 1 : lastNumber }
}
