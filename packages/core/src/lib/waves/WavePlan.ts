import type { WaveId } from '../ids/WaveId.js'
import type { PlannedWaveStep } from './PlannedWaveStep.js'

/**
 * The steps that are due, and why waves that wait do so.
 *
 * @public
 */
export interface WavePlan {
	readonly steps: readonly PlannedWaveStep[]
	/** Why no further backend server is taken, by wave. */
	readonly reasons: ReadonlyMap<WaveId, string>
}
