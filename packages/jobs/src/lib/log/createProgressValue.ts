import type { JobSnapshot } from '@mastichead/core'
import type { ProgressRecord } from './ProgressRecord.js'
import { createStepRecords } from './createStepRecords.js'
import { formatPlaces } from './formatPlaces.js'

type Task = JobSnapshot['tasks'][number]

/**
 * Encodes the progress of a job for the log.
 *
 * @public
 */
export function createProgressValue({ state, begun, finishedAt, tasks }: JobSnapshot): string {
	const unplaced = tasks.filter((task) => task.phase !== 'placed')
	const placed = tasks.filter((task) => task.phase === 'placed')
	const record: ProgressRecord = {
		format: 2,
		state,
		begun,
		finishedAt,
		...groupPlaces(unplaced, (task) => task.phase),
		placed: omitEmpty(groupPlaces(placed, (task) => task.backend ?? '')),
		...createUses(placed),
		attempts: omitEmpty(groupPlaces(tasks, ({ attempt }) => omitDefault(attempt, 1))),
		failures: omitEmpty(groupPlaces(tasks, ({ failures }) => omitDefault(failures, 0))),
		crashes: omitEmpty(groupPlaces(tasks, ({ crashes }) => omitDefault(crashes, 0))),
		suspected: formatSuspected(tasks),
		losses: createLosses(tasks),
		checkpoints: omitEmpty(groupPlaces(tasks, (task) => omitDefault(task.checkpoint, ''))),
	}
	return JSON.stringify(record)
}

/** Groups tasks by a key; those without a key are left out. */
function groupPlaces(
	tasks: readonly Task[],
	getKey: (task: Task) => string | undefined
): Record<string, string> {
	const places = new Map<string, number[]>()
	for (const task of tasks) {
		const key = getKey(task)
		if (key === undefined) continue
		const group = places.get(key)
		if (group) group.push(task.place)
		else places.set(key, [task.place])
	}
	return Object.fromEntries([...places].map(([key, group]) => [key, formatPlaces(group)]))
}

function omitDefault(value: number | string, initial: number | string): string | undefined {
	return value === initial ? undefined : `${value}`
}

function omitEmpty(groups: Record<string, string>): Record<string, string> | undefined {
	return Object.keys(groups).length === 0 ? undefined : groups
}

function createUses(placed: readonly Task[]): Pick<ProgressRecord, 'steps' | 'team'> {
	const team = placed.find(({ use }) => use)?.use?.team
	return team === undefined ? {} : { steps: createStepRecords(placed), team }
}

function createLosses(tasks: readonly Task[]): ProgressRecord['losses'] {
	const losses = new Map(
		tasks.flatMap(({ unexplainedLoss }) =>
			unexplainedLoss ? [[JSON.stringify(unexplainedLoss), unexplainedLoss]] : []
		)
	)
	if (losses.size === 0) return undefined
	const places = groupPlaces(tasks, ({ unexplainedLoss }) =>
		unexplainedLoss ? JSON.stringify(unexplainedLoss) : undefined
	)
	return [...losses].map(([key, loss]) => ({ ...loss, tasks: places[key] ?? '' }))
}

function formatSuspected(tasks: readonly Task[]): string | undefined {
	const places = tasks.filter((task) => task.isSuspected).map(({ place }) => place)
	return places.length === 0 ? undefined : formatPlaces(places)
}
