import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { Wave } from '../state/Wave.js'
import type { WaveStepState } from '../state/WaveStepState.js'

/**
 * Status of one maintenance wave.
 *
 * @public
 */
export interface WaveStatus {
	readonly wave: WaveId
	readonly state: Wave['state']
	/** Why the wave is paused; empty otherwise. */
	readonly reason: string
	/** Number of backend servers by the state of their step. */
	readonly steps: Readonly<Record<WaveStepState, number>>
	/** Backend servers that are draining or in maintenance for this wave. */
	readonly out: readonly BackendServerId[]
	/** The next waiting backend server and what blocks it; absent if none is waiting. */
	readonly next?: { readonly backendServer: BackendServerId; readonly waitsFor: string } | undefined
}
