import type { Queue, TeamId } from '@mastichead/core'
import type { Refusal } from './Refusal.js'

/**
 * Authenticates callers and resolves their team.
 *
 * @public
 */
export abstract class CallerAuthenticator {
	/**
	 * @param authorization - value of the `Authorization` header, if present
	 * @param queue - the queue that the caller posts to
	 */
	abstract authenticate(
		authorization: string | undefined,
		queue: Queue
	):
		| { readonly type: 'authenticated'; readonly team: TeamId }
		| { readonly type: 'refused'; readonly refusal: Refusal }
}
