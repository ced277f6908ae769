/**
 * A wave's progress as it is kept in the log.
 *
 * @public
 */
export interface WaveProgress {
	/** Machines whose maintenance was ordered, or is about to be. */
	readonly ordered: readonly string[]
	/** Machines whose maintenance has begun, or that are gone. */
	readonly done: readonly string[]
	/** When an owner first knew of the wave, in milliseconds since 1970. */
	readonly receivedAt: number
	/** What the operator was told. */
	readonly reported: 'nothing' | 'running' | 'completed'
}
