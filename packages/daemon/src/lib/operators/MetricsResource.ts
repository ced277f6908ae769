import type { OperatorResponse } from './OperatorResponse.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * The metrics of this daemon in the text exposition format.
 *
 * @internal
 */
export class MetricsResource extends OperatorResource {
	override readonly path = '/metrics'

	override async get(): Promise<OperatorResponse> {
		const text = await this.context.metrics.getTextExposition()
		return { type: 'text', status: 200, text }
	}
}
