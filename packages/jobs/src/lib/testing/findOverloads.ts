import type { RunJournal } from './RunJournal.js'

/**
 * Finds the starts after which more tasks ran on a backend server than it has room for.
 *
 * @param backend - the server; undefined for all servers together
 * @param room - number of tasks that may run there
 * @param span - times between which starts count, in milliseconds
 * @internal
 */
export function findOverloads(
	journal: RunJournal,
	backend: string | undefined,
	room: number,
	span: { readonly from: number; readonly to: number }
): string[] {
	const runs = journal.tasks
		.flatMap((task) => journal.getRuns(task).map((run) => ({ task, ...run })))
		.filter((run) => backend === undefined || run.backend === backend)
	const starts = runs.filter(({ startedAt }) => startedAt > span.from && startedAt <= span.to)
	return starts.flatMap(({ task, startedAt }) => {
		const running = runs.filter(
			(run) => run.startedAt <= startedAt && (run.endedAt ?? Infinity) > startedAt
		)
		return running.length > room ? [`${startedAt}: ${task} is number ${running.length}`] : []
	})
}
