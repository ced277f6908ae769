/**
 * Faults that the platform stand-in simulates, all off by default.
 *
 * @public
 */
export interface PlatformFaults {
	/** Every call is answered with status 503. */
	readonly outage: boolean
	/** Delay before an append takes effect. */
	readonly appendDelayMilliseconds: number
	/** Delay before a read is answered. */
	readonly readDelayMilliseconds: number
	/** Number of coming appends that take effect but whose answers are lost. */
	readonly loseAppendAnswers: number
	/** Instances whose connections are closed unanswered, by `Mastichead-Instance` header. */
	readonly cutInstances: readonly string[]
	/** Age of the instance list that readers get. */
	readonly listLagMilliseconds: number
	/** How far the platform's clock is ahead. Timestamps in the log never decrease. */
	readonly clockAheadMilliseconds: number
}
