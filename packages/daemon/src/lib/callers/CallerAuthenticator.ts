import type { Queue, TeamId } from '@mastichead/core'
import type { Refusal } from './Refusal.js'

/**
 * Tells which team a caller belongs to.
 *
 * @public
 */
export abstract class CallerAuthenticator {
	/**
	 * @param authorization - the `Authorization` header, if there is one
	 * @param queue - the queue that the caller posts to
	 */
	abstract authenticate(
		authorization: string | undefined,
		queue: Queue
	):
		| { readonly type: 'authenticated'; readonly team: TeamId }
		| { readonly type: 'refused'; readonly refusal: Refusal }
}
