import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaitingRequest } from './WaitingRequest.js'

/**
 * A request that starts, with what was reserved for it.
 *
 * @public
 */
export interface RequestStart<Unit = unknown> {
	readonly request: WaitingRequest
	readonly unit: Unit
	readonly server: BackendServerId
}
