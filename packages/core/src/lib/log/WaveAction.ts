import type { BackendServerId } from '../ids/BackendServerId.js'

/**
 * A request of an operator to create a wave or to change its state.
 *
 * @public
 */
export type WaveAction =
	| {
			readonly type: 'create'
			readonly backendServers: readonly BackendServerId[]
			/** Maximum number of backend servers that the wave takes out of service at once. */
			readonly parallelism: number
			/** Number of failures that the wave tolerates; one more pauses it. */
			readonly failureLimit: number
	  }
	| { readonly type: 'pause'; readonly reason: string }
	| { readonly type: 'resume' }
	| { readonly type: 'abort' }
