import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'

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
	readonly failureLimit: number
	/** State of each backend server of the wave. */
	readonly steps: ReadonlyMap<
		BackendServerId,
		'waiting' | 'draining' | 'maintenance' | 'done' | 'failed'
	>
}
