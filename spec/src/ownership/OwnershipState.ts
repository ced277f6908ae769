import type { ServerMessage } from './ServerMessage.js'
import type { OwnerState } from './OwnerState.js'
import type { ServerState } from './ServerState.js'
import type { TaskStatus } from './TaskStatus.js'

/** Everything that the model knows. Members of `left` bound the search. */
export interface OwnershipState {
	readonly now: number
	readonly remaining: {
		readonly takeovers: number
		readonly placements: number
		readonly restarts: number
		readonly finishes: number
		readonly listings: number
		readonly unanswered: number
	}
	readonly log: { readonly token: number; readonly tasks: readonly TaskStatus[] }
	readonly owners: readonly OwnerState[]
	readonly servers: readonly ServerState[]
	readonly inFlight: readonly ServerMessage[]
	/** First thing that went wrong and that no state shows; undefined for none. */
	readonly violation: { readonly invariant: string; readonly message: string } | undefined
}
