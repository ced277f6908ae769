import type { BackendServerId } from '../ids/BackendServerId.js'

/**
 * What an operator asks of a wave.
 *
 * @public
 */
export type WaveAction =
	| {
			readonly type: 'create'
			readonly backendServers: readonly BackendServerId[]
			/** Backend servers out at once for this wave. */
			readonly parallelism: number
			/** Failures after a step that pause the wave. */
			readonly failureLimit: number
	  }
	| { readonly type: 'pause'; readonly reason: string }
	| { readonly type: 'resume' }
	| { readonly type: 'abort' }
