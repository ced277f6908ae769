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
 * The fleet document in force and its replacement.
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
		const read = parseBody(applySchema, body)
		if (read.type === 'error') return read.answer
		const { proposalId, base } = read.body
		const decided = this.getDecided(proposalId)
		if (decided) return decided
		const parsed = validateFleet(read.body.fleet)
		if (parsed.type === 'invalid') {
			const message = parsed.problems.map(formatFleetProblem).join('; ')
			return createErrorResponse('invalid', message, proposalId)
		}
		const { state } = this.context.log
		if (base !== state.version) return this.refuseBase(proposalId, base)
		const patch = createFleetPatch(getFleet(state), parsed.fleet)
		const proposal = { kind: 'apply', id: proposalId, base, patch, operator } as const
		const outcome = await this.context.log.propose(proposal)
		return createProposalResponse(proposalId, outcome, getVersion)
	}

	/** A daemon that is behind cannot tell whether the base is stale. */
	private refuseBase(proposalId: string, base: number): OperatorResponse {
		const { version } = this.context.log.state
		if (base > version) {
			const message = `this daemon has seen version ${version}, not yet ${base}`
			return createErrorResponse('not-appended', message, proposalId)
		}
		const message = `the version in force is ${version}, not ${base}`
		return createErrorResponse('rejected', message, proposalId)
	}

	/** A repeated apply gets the decision that its first asking got. */
	private getDecided(proposalId: string): OperatorResponse | undefined {
		const decision = this.context.log.state.decisions.get(proposalId)
		if (!decision) return undefined
		return createProposalResponse(proposalId, { type: 'decided', decision }, getVersion)
	}
}

function getVersion(offset: number): object {
	return { version: offset + 1 }
}
