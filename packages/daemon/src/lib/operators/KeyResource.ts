import type { WithdrawalStatus } from '@mastichead/core'
import { createErrorResponse } from './createErrorResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'

/** Time to wait for the log before the operator is told that it does not answer. */
const LOG_DEADLINE_MILLISECONDS = 3_000

/**
 * One caller key and its withdrawal. A key that this daemon does not know is withdrawn all the
 * same when its id has the right form: it may have been issued where this daemon cannot see it.
 *
 * @internal
 */
export class KeyResource extends OperatorResource {
	override readonly path = '/v1/keys/:key'

	override async delete({ operator, parameters }: OperatorRequest): Promise<OperatorResponse> {
		const key = parameters.key ?? ''
		if (!/^[0-9a-f]{16}$/.test(key)) {
			return createErrorResponse('malformed', 'a key id has 16 hex digits')
		}
		const withdrawal = await this.context.keys.withdraw(key, operator, LOG_DEADLINE_MILLISECONDS)
		switch (withdrawal.type) {
			case 'logged':
				return createReachAnswer(200, { id: key, reached: 'log' })
			case 'spreading':
				return createReachAnswer(202, { id: key, reached: 'peers', reason: withdrawal.reason })
		}
	}
}

function createReachAnswer(
	status: number,
	body: { readonly id: string; readonly reached: WithdrawalStatus; readonly reason?: string }
): OperatorResponse {
	return { type: 'json', status, body }
}
