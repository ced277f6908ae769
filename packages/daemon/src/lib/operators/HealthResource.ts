import type { OperatorResponse } from './OperatorResponse.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * Whether the process answers at all.
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
