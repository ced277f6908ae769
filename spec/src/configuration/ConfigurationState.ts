/**
 * State of the configuration model. A document is named by the operator and the number of the
 * apply; a version is the offset of the apply in force, plus one.
 *
 * @public
 */
export interface ConfigurationState {
	readonly log: readonly Apply[]
	readonly inFlight: readonly { readonly apply: Apply; readonly copies: number }[]
	readonly operators: readonly {
		readonly applyCount: number
		/** Its apply whose outcome it does not know yet. */
		readonly pendingApply: Apply | null
		/** What it was told of each apply. */
		readonly reportedOutcomes: readonly { readonly id: string; readonly accepted: boolean }[]
	}[]
	readonly daemons: readonly {
		/** Entries that it has folded. */
		readonly foldedEntries: number
		/** Offset that it must reach before it serves. */
		readonly requiredEntries: number
		/** Whether callers and operators are served. */
		readonly isServing: boolean
		/** Highest number of entries that was folded where it served, of all its incarnations. */
		readonly highestServed: number
		readonly restarts: number
	}[]
}

interface Apply {
	readonly id: string
	readonly base: number
}
