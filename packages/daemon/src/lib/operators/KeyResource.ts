import type { WithdrawalStatus } from '@mastichead/core'
import { createErrorResponse } from './createErrorResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'
import type { OperatorRequest } from './OperatorRequest.js'
import { OperatorResource } from './OperatorResource.js'

/** Maximum wait for the log before the withdrawal is reported as spreading through peers. */
const LOG_TIMEOUT_MILLISECONDS = 3_000

/**
 * A caller key, which DELETE withdraws. Accepts any well-formed key id, since the key may have been
 * issued in a part of the log that this daemon has not received yet.
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
		const withdrawal = await this.context.keys.withdraw(key, operator, LOG_TIMEOUT_MILLISECONDS)
		switch (withdrawal.type) {
			case 'logged':
				return createWithdrawalResponse(200, { id: key, reached: 'log' })
			case 'spreading':
				return createWithdrawalResponse(202, {
					id: key,
					reached: 'peers',
					reason: withdrawal.reason,
				})
		}
	}
}

function createWithdrawalResponse(
	status: number,
	body: { readonly id: string; readonly reached: WithdrawalStatus; readonly reason?: string }
): OperatorResponse {
	return { type: 'json', status, body }
}
