import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { WaveOutcome } from './WaveOutcome.js'
import type { WaveStepState } from './WaveStepState.js'

/**
 * A maintenance wave.
 *
 * @public
 */
export interface Wave {
	readonly id: WaveId
	readonly state: 'running' | 'paused' | 'aborted' | 'done'
	/** Why it is paused; empty otherwise. */
	readonly reason: string
	readonly parallelism: number
	/** Failed outcomes that are let pass; one more pauses the wave. */
	readonly failureLimit: number
	/** State of each backend server of the wave; a table that only the fold changes. */
	readonly steps: Map<BackendServerId, WaveStepState>
	/** Steps that ended within the last `WAVE_FAILURE_WINDOW`, oldest first. */
	readonly outcomes: readonly WaveOutcome[]
}
