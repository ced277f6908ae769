import type { OperatorResponse } from './OperatorResponse.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * Readiness check: whether the daemon accepts requests.
 *
 * @internal
 */
export class ReadinessResource extends OperatorResource {
	override readonly path = '/readyz'
	override readonly isPublic = true

	override get(): Promise<OperatorResponse> {
		const reason = this.context.status.getUnreadyReason()
		if (reason === undefined) {
			return Promise.resolve({ type: 'text', status: 200, text: 'ready\n' })
		}
		return Promise.resolve({ type: 'text', status: 503, text: `${reason}\n` })
	}
}
