import type { JobStep } from '../JobStep.js'

/**
 * Returns the length of the longest dependency chain of the steps, in milliseconds.
 *
 * @param getDuration - returns the expected duration of one task of a step, in milliseconds
 * @public
 */
export function getCriticalPath(
	steps: readonly JobStep[],
	getDuration: (step: JobStep, stepNumber: number) => number
): number {
	const ends: number[] = []
	for (const [stepNumber, step] of steps.entries()) {
		const start = Math.max(0, ...step.dependsOn.map((dependency) => ends[dependency] ?? 0))
		ends.push(start + getDuration(step, stepNumber))
	}
	return Math.max(0, ...ends)
}
