import type { OperatorResponse } from './OperatorResponse.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * Moves between pools that are in progress.
 *
 * @internal
 */
export class MovesResource extends OperatorResource {
	override readonly path = '/v1/moves'

	override get(): Promise<OperatorResponse> {
		const { moves } = this.context.status.getStatus()
		return Promise.resolve({ type: 'json', status: 200, body: { moves } })
	}
}
