/**
 * Result of joining the group of instances or renewing the membership.
 *
 * @public
 */
export type JoinResult =
	| {
			readonly kind: 'joined'
			/** Increases with each change of the members or the ownership of the group. */
			readonly generation: number
			/** Whether the member is the owner. */
			readonly owner: boolean
	  }
	| { readonly kind: 'unavailable'; readonly reason: string }
