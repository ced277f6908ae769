import type { RunUse } from '@mastichead/core'
import type { StepRecord } from './StepRecord.js'

/**
 * Returns what the run of a placed task uses; undefined if the records of the steps do not tell it.
 *
 * @param place - index of the task in the job's list of tasks
 * @internal
 */
export function parseRunUse(
	steps: readonly StepRecord[],
	team: string,
	place: number
): RunUse | undefined {
	const record = steps.findLast(({ first }) => first <= place)
	if (!record) return undefined
	const { first, occurrence = 0, step = 0, cpu = 0, memory = 0, gpu = 0, fills = false } = record
	const needs = { cpu, memory, gpu }
	return { occurrence, stepNumber: step, index: place - first, team, needs, fills }
}
