/**
 * Result of searching the states of a model.
 *
 * @public
 */
export interface SearchResult<Action> {
	/** Distinct states found, including the initial one. */
	readonly states: number
	/** Actions applied, including those that led to a known state. */
	readonly transitions: number
	/** Largest number of actions on a shortest trace to a visited state. */
	readonly depth: number
	/** Whether every reachable state was visited. */
	readonly isExhaustive: boolean
	/** First violation found, with a shortest trace to it. */
	readonly violation?:
		| { readonly invariant: string; readonly message: string; readonly trace: readonly Action[] }
		| undefined
	/** Traces to every `sampleEvery`-th state found. */
	readonly samples: readonly (readonly Action[])[]
}
