/**
 * Options of {@link MovePlanner}.
 *
 * @public
 */
export interface MovePlannerOptions {
	/** Moves under way at once; by default 8. */
	readonly maximumConcurrentMoves?: number | undefined
}
