import type { JobSnapshot, UnexplainedLoss } from '@mastichead/core'
import type { ProgressRecord } from './ProgressRecord.js'
import { parsePlaces } from './parsePlaces.js'
import { parseRunUse } from './parseRunUse.js'

type Task = JobSnapshot['tasks'][number]

/** Progress as earlier versions wrote it. */
interface EarlierRecord extends Omit<JobSnapshot, 'tasks'> {
	readonly tasks: readonly Omit<Task, 'crashes' | 'isSuspected'>[]
}

const UNPLACED_PHASES = ['pending', 'done', 'failed', 'dropped'] as const

/**
 * Decodes the progress of a job, in the form of `createProgressValue` or in the one of earlier
 * versions, which is a `JobSnapshot`. Throws if it has neither form.
 *
 * @public
 */
export function parseProgressValue(value: string): JobSnapshot {
	const record = JSON.parse(value) as EarlierRecord | ProgressRecord
	if (!('format' in record)) {
		if (!isTaskList(record.tasks)) throw new Error('progress has neither format nor tasks')
		return {
			...record,
			tasks: record.tasks.map((task) => ({ ...task, crashes: 0, isSuspected: false })),
		}
	}
	if ((record.format as number) !== 2) throw new Error(`unknown format ${String(record.format)}`)
	const { state, begun, finishedAt } = record
	return { state, begun, finishedAt, tasks: parseTasks(record) }
}

function parseTasks(record: ProgressRecord): Task[] {
	const attempts = parseGroups(record.attempts)
	const failures = parseGroups(record.failures)
	const crashes = parseGroups(record.crashes)
	const suspected = new Set(record.suspected === undefined ? [] : parsePlaces(record.suspected))
	const losses = parseLosses(record.losses)
	const checkpoints = parseGroups(record.checkpoints)
	const createTask = (place: number, phase: Task['phase'], backend?: string): Task => ({
		place,
		phase,
		attempt: Number(attempts.get(place) ?? 1),
		failures: Number(failures.get(place) ?? 0),
		crashes: Number(crashes.get(place) ?? 0),
		isSuspected: suspected.has(place),
		...getLoss(losses, place),
		backend,
		checkpoint: checkpoints.get(place) ?? '',
	})
	const tasks = UNPLACED_PHASES.flatMap((phase) => {
		const places = record[phase]
		return places === undefined ? [] : parsePlaces(places).map((place) => createTask(place, phase))
	})
	for (const [place, backend] of parseGroups(record.placed)) {
		const use = parseRunUse(record.steps ?? [], record.team ?? '', place)
		const task = createTask(place, 'placed', backend === '' ? undefined : backend)
		tasks.push({ ...task, ...(use && { use }) })
	}
	return tasks.sort((a, b) => a.place - b.place)
}

/** Returns the key of each task's group by the index of the task. */
function parseGroups(groups: Readonly<Record<string, string>> = {}): Map<number, string> {
	const keys = new Map<number, string>()
	for (const [key, places] of Object.entries(groups)) {
		for (const place of parsePlaces(places)) keys.set(place, key)
	}
	return keys
}

function isTaskList(value: unknown): value is EarlierRecord['tasks'] {
	return Array.isArray(value)
}

function parseLosses(losses: ProgressRecord['losses'] = []): Map<number, UnexplainedLoss> {
	const byPlace = new Map<number, UnexplainedLoss>()
	for (const { tasks, machine, incarnation, suspicion } of losses) {
		for (const place of parsePlaces(tasks)) byPlace.set(place, { machine, incarnation, suspicion })
	}
	return byPlace
}

function getLoss(
	losses: ReadonlyMap<number, UnexplainedLoss>,
	place: number
): Pick<Task, 'unexplainedLoss'> {
	const unexplainedLoss = losses.get(place)
	return unexplainedLoss ? { unexplainedLoss } : {}
}
