/**
 * Faults that the platform stand-in plays, all off by default.
 *
 * @public
 */
export interface PlatformFaults {
	/** Every call is answered 503. */
	readonly outage: boolean
	/** Delay before an append takes effect. */
	readonly appendDelayMilliseconds: number
	/** Delay before a read is answered. */
	readonly readDelayMilliseconds: number
	/** The next so many appends take effect and their answers are lost. */
	readonly loseAppendAnswers: number
	/** Names of instances whose calls are cut off, by their `Mastichead-Instance` header. */
	readonly cutInstances: readonly string[]
	/** Age of the instance list that is shown. */
	readonly listLagMilliseconds: number
	/** How far the platform's clock is ahead; it never goes back. */
	readonly clockAheadMilliseconds: number
}
