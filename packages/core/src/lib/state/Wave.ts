import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { WaveOutcome } from './WaveOutcome.js'
import type { WaveStepState } from './WaveStepState.js'

/**
 * A maintenance wave: maintenance of a set of backend servers, a limited number of them at a time.
 *
 * @public
 */
export interface Wave {
	readonly id: WaveId
	readonly state: 'running' | 'paused' | 'aborted' | 'done'
	/** Why it is paused; empty otherwise. */
	readonly reason: string
	/** Maximum number of backend servers that the wave takes out of service at once. */
	readonly parallelism: number
	/** Number of failed outcomes that the wave tolerates; one more pauses it. */
	readonly failureLimit: number
	/** Step of each backend server of the wave; only the fold changes this table. */
	readonly steps: Map<BackendServerId, WaveStepState>
	/** Outcomes within the last `waveFailureWindow`, oldest first. */
	readonly outcomes: readonly WaveOutcome[]
}
