import type { WaveId } from '../ids/WaveId.js'
import type { PlannedWaveStep } from './PlannedWaveStep.js'

/**
 * Steps to propose, and the reasons why waves wait.
 *
 * @public
 */
export interface WavePlan {
	readonly steps: readonly PlannedWaveStep[]
	/** Reason why a wave drains no further backend server, by wave. */
	readonly reasons: ReadonlyMap<WaveId, string>
}
