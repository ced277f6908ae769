/**
 * Outcome of joining the group of instances, or of staying in it.
 *
 * @public
 */
export type JoinResult =
	| {
			readonly kind: 'joined'
			/** Rises with each change of the group's members or of who owns what. */
			readonly generation: number
			/** Whether the member owns the shard. */
			readonly owner: boolean
	  }
	| { readonly kind: 'unavailable'; readonly reason: string }
