/**
 * When a task's placement was read from the log.
 *
 * @public
 */
export interface RecordedPlacement {
	/** Number of the placement's attempt. */
	readonly attempt: number
	/** Monotonic instant, in milliseconds; undefined if the placement comes from a load of the log. */
	readonly readAt: number | undefined
}
