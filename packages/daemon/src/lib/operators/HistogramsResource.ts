import type { OperatorResponse } from './OperatorResponse.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * Latency histograms and outcome counts of this daemon.
 *
 * @internal
 */
export class HistogramsResource extends OperatorResource {
	override readonly path = '/v1/histograms'

	override async get(): Promise<OperatorResponse> {
		const body = await this.context.metrics.getHistograms()
		return { type: 'json', status: 200, body }
	}
}
