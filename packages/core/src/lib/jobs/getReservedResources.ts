import type { JobStep } from './JobStep.js'
import type { Resources } from './Resources.js'

/**
 * What a task of the step takes of a backend server's capacity: a step that fills takes no cpu.
 *
 * @public
 */
export function getReservedResources(step: JobStep): Resources {
	return step.fills ? { ...step.needs, cpu: 0 } : step.needs
}
