/**
 * Outcome of a search.
 *
 * @public
 */
export interface SearchResult<Action> {
	readonly states: number
	readonly transitions: number
	/** Length of the longest shortest trace. */
	readonly depth: number
	/** Whether every state that can be reached was visited. */
	readonly isExhaustive: boolean
	/** First state found that breaks an invariant. */
	readonly violation?:
		| { readonly invariant: string; readonly message: string; readonly trace: readonly Action[] }
		| undefined
	/** Traces to some of the states visited, spread over the search. */
	readonly samples: readonly (readonly Action[])[]
}
