import type { ServerMessage } from './ServerMessage.js'
import type { OwnerState } from './OwnerState.js'
import type { ServerState } from './ServerState.js'
import type { TaskStatus } from './TaskStatus.js'

/** State of the ownership model. */
export interface OwnershipState {
	/** Current tick. */
	readonly now: number
	/** Actions of each kind that may still be taken within the bounds of the search. */
	readonly remaining: {
		readonly takeovers: number
		readonly placements: number
		readonly restarts: number
		readonly finishes: number
		readonly listings: number
		readonly unanswered: number
	}
	/** Newest fencing token that the log has seen, and the tasks as last appended. */
	readonly log: { readonly token: number; readonly tasks: readonly TaskStatus[] }
	/** The owner of each term, oldest first. */
	readonly owners: readonly OwnerState[]
	readonly servers: readonly ServerState[]
	/** Messages that may still arrive, sorted. */
	readonly inFlight: readonly ServerMessage[]
	/** First violation of an invariant that can be seen only in a step, not in a state. */
	readonly violation: { readonly invariant: string; readonly message: string } | undefined
}
