/**
 * Options of {@link MovePlanner}.
 *
 * @public
 */
export interface MovePlannerOptions {
	/** Maximum moves in progress at once (default 8). */
	readonly maximumConcurrentMoves?: number | undefined
}
