import type { Resources } from './Resources.js'

/**
 * A step of a job: `count` equal tasks.
 *
 * @public
 */
export interface JobStep {
	readonly count: number
	/** What one task uses. */
	readonly needs: Resources
	/** Rough duration of one task in milliseconds; 0 if the caller gave none. */
	readonly estimate: number
	/** Numbers of earlier steps whose tasks must all be done first. */
	readonly dependsOn: readonly number[]
	readonly checkpoints: boolean
	/** All tasks work only together. */
	readonly gang: boolean
	/** The tasks slow each other down when they are spread over several racks. */
	readonly sameRack: boolean
	/** Label that the backend server must have; empty for none. */
	readonly requiredLabel: string
	/** Rack that holds the data; empty for none. */
	readonly dataRack: string
	/** Most tasks of one occurrence of this step on one backend server; 0 for no bound. */
	readonly maximumPerBackend: number
	readonly speculative: boolean
	/** The tasks run until the job is cancelled. */
	readonly lasting: boolean
	/** What the tasks run; tasks of one image behave alike. */
	readonly image: string
	/** Bound on the tail latency of a task that serves users, in milliseconds; 0 for none. */
	readonly targetLatency: number
	/** The cpu of the tasks is not counted: they use what others leave. */
	readonly fills: boolean
	/** Tasks that may be away at the same time through orders of the product; undefined: no promise. */
	readonly mayMiss: number | undefined
}
