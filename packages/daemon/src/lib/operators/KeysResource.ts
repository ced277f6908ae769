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
 * Caller keys. A client that makes the key itself sends only its id and hash, and may repeat the
 * request without making a second key.
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
		const read = parseBody(issueSchema, body)
		if (read.type === 'error') return read.answer
		const { proposalId, team, key } = read.body
		const made = key ? undefined : createCallerKey()
		const id = key?.id ?? made?.id ?? ''
		const hash = key?.hash ?? hashKeySecret(made?.secret ?? '')
		const proposal = { kind: 'issue-key', id: proposalId, key: id, team, hash, operator } as const
		const outcome = await this.context.log.propose(proposal)
		return createProposalResponse(proposalId, outcome, () => ({ id, team, key: made?.text }))
	}
}
