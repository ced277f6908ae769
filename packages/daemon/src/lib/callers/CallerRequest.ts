import type {
	BackendServerId,
	Milliseconds,
	Queue,
	RequestAttempts,
	TeamId,
	WaitingRequest,
} from '@mastichead/core'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RunningAttempt } from '../backends/RunningAttempt.js'
import type { CallerHeaders } from './CallerHeaders.js'
import type { RequestBody } from './RequestBody.js'

/**
 * State of an accepted request from its queueing to its end.
 *
 * @internal
 */
export interface CallerRequest {
	readonly requestId: string
	readonly team: TeamId
	readonly queue: Queue
	readonly headers: CallerHeaders
	readonly contentType: string | undefined
	readonly body: RequestBody
	readonly request: IncomingMessage
	readonly response: ServerResponse
	readonly attempts: RequestAttempts
	readonly acceptedAt: Milliseconds
	/** Entry in the queue; replaced when the request is queued again. */
	queueEntry: WaitingRequest
	/** Start of the first attempt; undefined until then. */
	startedAt: Milliseconds | undefined
	/** The attempt in progress, if any. */
	runningAttempt: { readonly server: BackendServerId; readonly attempt: RunningAttempt } | undefined
	hasEnded: boolean
}
