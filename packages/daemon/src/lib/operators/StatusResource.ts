import type { OperatorResponse } from './OperatorResponse.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * Status of the fleet as known to this daemon.
 *
 * @internal
 */
export class StatusResource extends OperatorResource {
	override readonly path = '/v1/status'

	override get(): Promise<OperatorResponse> {
		const body = this.context.status.getStatus()
		return Promise.resolve({ type: 'json', status: 200, body })
	}
}
