import type { BackendAddress } from './BackendAddress.js'
import type { BackendOrderResult } from './BackendOrderResult.js'
import type { RenewalRequest } from './RenewalRequest.js'
import type { RenewalResult } from './RenewalResult.js'
import type { StartOrder } from './StartOrder.js'
import type { StopOrder } from './StopOrder.js'

/**
 * Sends requests to backend servers.
 *
 * @public
 */
export abstract class BackendServerClient {
	abstract start(backend: BackendAddress, order: StartOrder): Promise<BackendOrderResult>
	abstract stop(backend: BackendAddress, order: StopOrder): Promise<BackendOrderResult>
	abstract renew(backend: BackendAddress, renewal: RenewalRequest): Promise<RenewalResult>

	/** Closes the idle connections to a backend server that is no longer used. */
	abstract closeIdleConnections(backend: BackendAddress): void
}
