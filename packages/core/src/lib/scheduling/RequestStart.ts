import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaitingRequest } from './WaitingRequest.js'

/**
 * A request that is being started, with the allowance unit and the slot reserved for it.
 *
 * @public
 */
export interface RequestStart<Unit = unknown> {
	readonly request: WaitingRequest
	/** Unit of the team's allowance. */
	readonly unit: Unit
	/** Backend server on which a slot is reserved. */
	readonly server: BackendServerId
}
