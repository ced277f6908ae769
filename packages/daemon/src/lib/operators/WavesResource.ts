import { z } from 'zod'
import { createProposalResponse } from './createProposalResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'
import { proposalIdSchema } from './proposalIdSchema.js'
import { parseBody } from './parseBody.js'

const createSchema = z.strictObject({
	proposalId: proposalIdSchema,
	wave: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'is not a name'),
	backendServers: z.array(z.string().min(1)).min(1),
	parallelism: z.int().min(1).default(1),
	failureLimit: z.int().min(0).default(0),
})

/**
 * Maintenance waves and their creation.
 *
 * @internal
 */
export class WavesResource extends OperatorResource {
	override readonly path = '/v1/waves'

	override get(): Promise<OperatorResponse> {
		const { waves } = this.context.status.getStatus()
		return Promise.resolve({ type: 'json', status: 200, body: { waves } })
	}

	override async post({ operator, body }: OperatorRequest): Promise<OperatorResponse> {
		const parsed = parseBody(createSchema, body)
		if (parsed.type === 'error') return parsed.response
		const { proposalId, wave, ...plan } = parsed.body
		const outcome = await this.context.log.propose({
			kind: 'wave',
			id: proposalId,
			wave,
			action: { type: 'create', ...plan },
			operator,
		})
		return createProposalResponse(proposalId, outcome, () => ({ wave }))
	}
}
