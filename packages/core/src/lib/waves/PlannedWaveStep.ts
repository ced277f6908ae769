import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { WaveStep } from '../log/WaveStep.js'

/**
 * A step of a wave to propose.
 *
 * @public
 */
export interface PlannedWaveStep {
	readonly wave: WaveId
	readonly backendServer: BackendServerId
	readonly step: WaveStep
	/** Offset at which the activity that the step follows from began; 0 for the first activity. */
	readonly since: number
}
