import type { BackendServerId } from '../ids/BackendServerId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * How the maintenance of one backend server ended. A backend server that finished and then failed
 * within the failure window counts as failed.
 *
 * @public
 */
export interface WaveOutcome {
	readonly backendServer: BackendServerId
	/** Platform clock of the step that ended it. */
	readonly at: Milliseconds
	readonly outcome: 'finished' | 'failed'
}
