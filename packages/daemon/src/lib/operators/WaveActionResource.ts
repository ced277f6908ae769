import type { WaveAction } from '@mastichead/core'
import { z } from 'zod'
import { createErrorResponse } from './createErrorResponse.js'
import { createProposalResponse } from './createProposalResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'
import { proposalIdSchema } from './proposalIdSchema.js'
import { parseBody } from './parseBody.js'

const actionSchema = z.strictObject({
	proposalId: proposalIdSchema,
	reason: z.string().max(500).default(''),
})

/**
 * Pauses, resumes or aborts a maintenance wave.
 *
 * @internal
 */
export class WaveActionResource extends OperatorResource {
	override readonly path = '/v1/waves/:wave/:action'

	override async post({ operator, parameters, body }: OperatorRequest): Promise<OperatorResponse> {
		const parsed = parseBody(actionSchema, body)
		if (parsed.type === 'error') return parsed.response
		const { proposalId, reason } = parsed.body
		const wave = parameters.wave ?? ''
		const action = createWaveAction(parameters.action ?? '', reason || `paused by ${operator}`)
		if (!action) return createErrorResponse('not-found', 'an action is pause, resume or abort')
		if (!this.context.log.state.waves.has(wave)) {
			return createErrorResponse('not-found', `unknown wave ${wave}`)
		}
		const proposal = { kind: 'wave', id: proposalId, wave, action, operator } as const
		const outcome = await this.context.log.propose(proposal)
		return createProposalResponse(proposalId, outcome, () => ({ wave, action: action.type }))
	}
}

function createWaveAction(name: string, reason: string): WaveAction | undefined {
	switch (name) {
		case 'pause':
			return { type: 'pause', reason }
		case 'resume':
		case 'abort':
			return { type: name }
		default:
			return undefined
	}
}
