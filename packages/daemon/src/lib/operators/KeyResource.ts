import { z } from 'zod'
import { createErrorAnswer } from './createErrorAnswer.js'
import type { OperatorAnswer } from './OperatorAnswer.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'
import { proposalIdSchema } from './proposalIdSchema.js'
import { readBody } from './readBody.js'

const withdrawSchema = z.strictObject({ proposalId: proposalIdSchema })

/**
 * One caller key and its withdrawal. A key that this daemon does not know is withdrawn all the
 * same when its id has the right form: it may have been issued where this daemon cannot see it.
 *
 * @internal
 */
export class KeyResource extends OperatorResource {
	override readonly path = '/v1/keys/:key'

	override async delete({ operator, parameters, body }: OperatorRequest): Promise<OperatorAnswer> {
		const key = parameters.key ?? ''
		if (!/^[0-9a-f]{16}$/.test(key)) {
			return createErrorAnswer('malformed', 'a key id has 16 hex digits')
		}
		const read = readBody(withdrawSchema, body)
		if (read.type === 'error') return read.answer
		const { proposalId } = read.body
		const outcome = await this.context.keys.withdraw({ id: proposalId, key, operator })
		const status = outcome.reached === 'log' ? 200 : 202
		return { type: 'json', status, body: { proposalId, id: key, ...outcome } }
	}
}
