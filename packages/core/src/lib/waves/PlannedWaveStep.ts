import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { WaveStep } from '../log/WaveStep.js'

/**
 * A step of a wave that is due.
 *
 * @public
 */
export interface PlannedWaveStep {
	readonly wave: WaveId
	readonly backendServer: BackendServerId
	readonly step: WaveStep
	/** Offset since which the backend server does what the step follows from. */
	readonly since: number
}
