import { createErrorResponse } from './createErrorResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'

/**
 * A maintenance wave with the state of each of its steps.
 *
 * @internal
 */
export class WaveResource extends OperatorResource {
	override readonly path = '/v1/waves/:wave'

	override get({ parameters }: OperatorRequest): Promise<OperatorResponse> {
		const name = parameters.wave ?? ''
		const status = this.context.status.getStatus().waves.find((row) => row.wave === name)
		const wave = this.context.log.state.waves.get(name)
		if (!status || !wave) {
			return Promise.resolve(createErrorResponse('not-found', `unknown wave ${name}`))
		}
		const body = { ...status, backendServers: Object.fromEntries(wave.steps) }
		return Promise.resolve({ type: 'json', status: 200, body })
	}
}
