import type { Message } from './Message.js'
import type { OwnerState } from './OwnerState.js'
import type { ServerState } from './ServerState.js'
import type { TaskView } from './TaskView.js'

/** Everything that the model knows. Members of `left` bound the search. */
export interface OwnershipState {
	readonly now: number
	readonly left: {
		readonly turns: number
		readonly placements: number
		readonly restarts: number
		readonly finishes: number
		readonly listings: number
		readonly unanswered: number
	}
	readonly log: { readonly token: number; readonly tasks: readonly TaskView[] }
	readonly owners: readonly OwnerState[]
	readonly servers: readonly ServerState[]
	readonly flight: readonly Message[]
	/** First thing that went wrong and that no state shows; undefined for none. */
	readonly fault: { readonly invariant: string; readonly message: string } | undefined
}
