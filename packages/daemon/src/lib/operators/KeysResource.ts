import { createCallerKey, hashKeySecret } from '@mastichead/core'
import { z } from 'zod'
import { createProposalResponse } from './createProposalResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'
import { proposalIdSchema } from './proposalIdSchema.js'
import { parseBody } from './parseBody.js'

const issueSchema = z.strictObject({
	proposalId: proposalIdSchema,
	team: z.string().min(1),
	key: z
		.strictObject({
			id: z.string().regex(/^[0-9a-f]{16}$/, 'must be 16 hex digits'),
			hash: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in 64 hex digits'),
		})
		.optional(),
})

/**
 * Caller keys. A client that generates the key itself sends only its id and hash, which lets it
 * retry the request without creating a second key.
 *
 * @internal
 */
export class KeysResource extends OperatorResource {
	override readonly path = '/v1/keys'

	override get(): Promise<OperatorResponse> {
		const rows = [...this.context.log.state.keys.values()]
		const keys = rows.map(({ id, team, state }) => ({ id, team, state }))
		return Promise.resolve({ type: 'json', status: 200, body: { keys } })
	}

	override async post({ operator, body }: OperatorRequest): Promise<OperatorResponse> {
		const parsed = parseBody(issueSchema, body)
		if (parsed.type === 'error') return parsed.response
		const { proposalId, team, key } = parsed.body
		const createdKey = key ? undefined : createCallerKey()
		const id = key?.id ?? createdKey?.id ?? ''
		const hash = key?.hash ?? hashKeySecret(createdKey?.secret ?? '')
		const proposal = { kind: 'issue-key', id: proposalId, key: id, team, hash, operator } as const
		const outcome = await this.context.log.propose(proposal)
		return createProposalResponse(proposalId, outcome, () => ({ id, team, key: createdKey?.text }))
	}
}
