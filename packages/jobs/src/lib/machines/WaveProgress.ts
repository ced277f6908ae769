/**
 * Progress of a maintenance wave as stored in the log.
 *
 * @public
 */
export interface WaveProgress {
	/** Machines whose maintenance was ordered or is about to be. */
	readonly ordered: readonly string[]
	/** Machines whose maintenance has started, or that no longer exist. */
	readonly done: readonly string[]
	/** When an owner first saw the wave, in milliseconds since 1970. */
	readonly receivedAt: number
	/** State that was reported to the operator. */
	readonly reported: 'nothing' | 'running' | 'completed'
	/**
	 * Milliseconds for which the platform's lists have lacked a machine, by machine. Earlier versions do
	 * not record it.
	 */
	readonly missingTimes?: Readonly<Record<string, number>>
	/**
	 * When the evacuation of a machine began, in milliseconds since 1970, by machine. Earlier versions do
	 * not record it.
	 */
	readonly evacuatingSince?: Readonly<Record<string, number>>
}
