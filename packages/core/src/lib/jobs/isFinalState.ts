import type { JobState } from './JobState.js'

/**
 * Whether a job in this state never changes state again.
 *
 * @public
 */
export function isFinalState(state: JobState): boolean {
	return state === 'completed' || state === 'failed' || state === 'cancelled'
}
