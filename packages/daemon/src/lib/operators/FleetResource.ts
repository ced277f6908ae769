import { validateFleet, createFleetPatch, formatFleetProblem, getFleet } from '@mastichead/core'
import { z } from 'zod'
import { createErrorResponse } from './createErrorResponse.js'
import { createProposalResponse } from './createProposalResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'
import { proposalIdSchema } from './proposalIdSchema.js'
import { parseBody } from './parseBody.js'

const applySchema = z.strictObject({
	proposalId: proposalIdSchema,
	base: z.int().min(0),
	fleet: z.unknown(),
})

/**
 * The current fleet document. PUT replaces it.
 *
 * @internal
 */
export class FleetResource extends OperatorResource {
	override readonly path = '/v1/fleet'

	override get(): Promise<OperatorResponse> {
		const { state } = this.context.log
		const body = { version: state.version, fleet: getFleet(state) }
		return Promise.resolve({ type: 'json', status: 200, body })
	}

	override async put({ operator, body }: OperatorRequest): Promise<OperatorResponse> {
		const parsed = parseBody(applySchema, body)
		if (parsed.type === 'error') return parsed.response
		const { proposalId, base } = parsed.body
		const earlier = this.getEarlierResponse(proposalId)
		if (earlier) return earlier
		const checked = validateFleet(parsed.body.fleet)
		if (checked.type === 'invalid') {
			const message = checked.problems.map(formatFleetProblem).join('; ')
			return createErrorResponse('invalid', message, proposalId)
		}
		const { state } = this.context.log
		if (base !== state.version) return this.createBaseErrorResponse(proposalId, base)
		const patch = createFleetPatch(getFleet(state), checked.fleet)
		const proposal = { kind: 'apply', id: proposalId, base, patch, operator } as const
		const outcome = await this.context.log.propose(proposal)
		return createProposalResponse(proposalId, outcome, getVersion)
	}

	/** A daemon that has not applied the base version yet cannot tell whether it is stale. */
	private createBaseErrorResponse(proposalId: string, base: number): OperatorResponse {
		const { version } = this.context.log.state
		if (base > version) {
			const message = `this daemon has seen version ${version}, not yet ${base}`
			return createErrorResponse('not-appended', message, proposalId)
		}
		const message = `the version in force is ${version}, not ${base}`
		return createErrorResponse('rejected', message, proposalId)
	}

	/** Returns the response to an apply that was already decided, so that retries are idempotent. */
	private getEarlierResponse(proposalId: string): OperatorResponse | undefined {
		const decision = this.context.log.state.decisions.get(proposalId)
		if (!decision) return undefined
		return createProposalResponse(proposalId, { type: 'decided', decision }, getVersion)
	}
}

function getVersion(offset: number): object {
	return { version: offset + 1 }
}
