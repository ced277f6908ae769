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
	/** Log offset at which the backend server's current activity began; 0 for its first activity. */
	readonly since: number
}
