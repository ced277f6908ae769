import type { JobStep } from './JobStep.js'

/**
 * Longest chain of work over the steps' dependencies, in milliseconds.
 *
 * @param getDuration - expected duration of a task of the step
 * @public
 */
export function getCriticalPath(
	steps: readonly JobStep[],
	getDuration: (step: JobStep, stepNumber: number) => number
): number {
	const ends: number[] = []
	for (const [stepNumber, step] of steps.entries()) {
		const start = Math.max(0, ...step.dependsOn.map((earlier) => ends[earlier] ?? 0))
		ends.push(start + getDuration(step, stepNumber))
	}
	return Math.max(0, ...ends)
}
