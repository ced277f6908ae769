import { z } from 'zod'
import { createErrorResponse } from './createErrorResponse.js'
import { createProposalResponse } from './createProposalResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'
import { proposalIdSchema } from './proposalIdSchema.js'
import { parseBody } from './parseBody.js'

const drainSchema = z.strictObject({
	proposalId: proposalIdSchema,
	override: z.boolean().default(false),
})

/**
 * Drain state of a backend server: PUT stops new requests to it, DELETE returns it to service.
 *
 * @internal
 */
export class DrainResource extends OperatorResource {
	override readonly path = '/v1/backend-servers/:name/drain'

	override put(request: OperatorRequest): Promise<OperatorResponse> {
		return this.propose(request, true)
	}

	override delete(request: OperatorRequest): Promise<OperatorResponse> {
		return this.propose(request, false)
	}

	private async propose(request: OperatorRequest, draining: boolean): Promise<OperatorResponse> {
		const { operator, parameters, body } = request
		const backendServer = parameters.name ?? ''
		const parsed = parseBody(drainSchema, body)
		if (parsed.type === 'error') return parsed.response
		if (!this.context.log.state.backendServers.has(backendServer)) {
			return createErrorResponse('not-found', `unknown backend server ${backendServer}`)
		}
		const { proposalId, override } = parsed.body
		const outcome = await this.context.log.propose({
			kind: 'drain',
			id: proposalId,
			backendServer,
			draining,
			override,
			operator,
		})
		return createProposalResponse(proposalId, outcome, () => ({ backendServer, draining }))
	}
}
