import type { OperatorResponse } from './OperatorResponse.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * Liveness check: responds while the process runs.
 *
 * @internal
 */
export class HealthResource extends OperatorResource {
	override readonly path = '/healthz'
	override readonly isPublic = true

	override get(): Promise<OperatorResponse> {
		return Promise.resolve({ type: 'text', status: 200, text: 'ok\n' })
	}
}
