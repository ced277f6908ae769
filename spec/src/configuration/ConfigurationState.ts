/**
 * State of the configuration model. A document is named by the operator and the number of the
 * apply; a version is the offset of the apply in force, plus one.
 *
 * @public
 */
export interface ConfigurationState {
	readonly log: readonly Apply[]
	readonly flight: readonly { readonly apply: Apply; readonly copies: number }[]
	readonly operators: readonly {
		readonly made: number
		/** Its apply whose outcome it does not know yet. */
		readonly open: Apply | null
		/** What it was told of each apply. */
		readonly told: readonly { readonly id: string; readonly accepted: boolean }[]
	}[]
	readonly daemons: readonly {
		/** Entries that it has folded. */
		readonly read: number
		/** Offset that it must reach before it serves. */
		readonly target: number
		/** Whether callers and operators are served. */
		readonly isServing: boolean
		/** Highest number of entries that was folded where it served, of all its incarnations. */
		readonly served: number
		readonly restarts: number
	}[]
}

interface Apply {
	readonly id: string
	readonly base: number
}
