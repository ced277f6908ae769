/**
 * State of the configuration model. A document is identified by the operator and the number of the
 * operator's apply. A version is the offset of the apply in force plus one; 0 is the initial one.
 *
 * @public
 */
export interface ConfigurationState {
	readonly log: readonly Apply[]
	/** Applies that may still be appended, each up to `copies` times. */
	readonly inFlight: readonly { readonly apply: Apply; readonly copies: number }[]
	readonly operators: readonly {
		/** Applies sent. */
		readonly applyCount: number
		/** Apply whose outcome it does not know yet. */
		readonly pendingApply: Apply | null
		/** Outcome of each earlier apply, as a daemon reported it. */
		readonly reportedOutcomes: readonly { readonly id: string; readonly accepted: boolean }[]
	}[]
	readonly daemons: readonly {
		/** Number of entries of the log that it has folded. */
		readonly foldedEntries: number
		/** Number of entries that it must have folded before it serves. */
		readonly requiredEntries: number
		/** Whether it serves callers and operators. */
		readonly isServing: boolean
		/** Largest number of folded entries with which it has served, over all restarts. */
		readonly highestServed: number
		readonly restarts: number
	}[]
}

interface Apply {
	readonly id: string
	/** Version that it replaces. */
	readonly base: number
}
