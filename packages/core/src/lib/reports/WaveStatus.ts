import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { Wave } from '../state/Wave.js'
import type { WaveStepState } from '../state/WaveStepState.js'

/**
 * One maintenance wave.
 *
 * @public
 */
export interface WaveStatus {
	readonly wave: WaveId
	readonly state: Wave['state']
	/** Why it is paused; empty otherwise. */
	readonly reason: string
	/** Backend servers by the state of their step. */
	readonly steps: Readonly<Record<WaveStepState, number>>
	/** Backend servers that are draining or in maintenance for it. */
	readonly out: readonly BackendServerId[]
	/** The next one and what it waits for; absent when none is waiting. */
	readonly next?: { readonly backendServer: BackendServerId; readonly waitsFor: string } | undefined
}
