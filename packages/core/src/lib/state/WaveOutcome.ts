import type { BackendServerId } from '../ids/BackendServerId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * Outcome of the maintenance of one backend server. One that finished and then became unhealthy
 * within the failure window counts as failed.
 *
 * @public
 */
export interface WaveOutcome {
	readonly backendServer: BackendServerId
	/** Platform clock of the step that ended the maintenance. */
	readonly at: Milliseconds
	readonly outcome: 'finished' | 'failed'
}
