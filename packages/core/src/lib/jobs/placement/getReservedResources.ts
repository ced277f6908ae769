import type { JobStep } from '../JobStep.js'
import type { Resources } from '../Resources.js'

/**
 * Returns the capacity that a task of the step reserves on a backend server. Best-effort steps
 * reserve no cpu.
 *
 * @public
 */
export function getReservedResources({
	needs,
	fills,
}: Pick<JobStep, 'needs' | 'fills'>): Resources {
	return fills ? { ...needs, cpu: 0 } : needs
}
