import type { JobSnapshot, RunUse } from '@mastichead/core'
import type { StepRecord } from './StepRecord.js'

/**
 * Creates the records of the steps of which tasks are placed, in the order of the steps' first tasks.
 *
 * @internal
 */
export function createStepRecords(tasks: JobSnapshot['tasks']): StepRecord[] {
	const records = new Map<number, StepRecord>()
	for (const { place, use } of tasks) {
		if (!use) continue
		const first = place - use.index
		if (!records.has(first)) records.set(first, createStepRecord(first, use))
	}
	return [...records.values()]
}

function createStepRecord(first: number, use: RunUse): StepRecord {
	const { occurrence, stepNumber, needs, fills } = use
	const { cpu, memory, gpu } = needs
	return {
		first,
		...(occurrence > 0 && { occurrence }),
		...(stepNumber > 0 && { step: stepNumber }),
		...(cpu > 0 && { cpu }),
		...(memory > 0 && { memory }),
		...(gpu > 0 && { gpu }),
		...(fills && { fills }),
	}
}
