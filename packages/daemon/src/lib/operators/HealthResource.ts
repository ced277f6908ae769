import type { OperatorAnswer } from './OperatorAnswer.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * Whether the process answers at all.
 *
 * @internal
 */
export class HealthResource extends OperatorResource {
	override readonly path = '/healthz'
	override readonly isOpen = true

	override get(): Promise<OperatorAnswer> {
		return Promise.resolve({ type: 'text', status: 200, text: 'ok\n' })
	}
}
