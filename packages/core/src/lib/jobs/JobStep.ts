import type { Resources } from './Resources.js'

/**
 * A step of a job: `count` identical tasks.
 *
 * @public
 */
export interface JobStep {
	readonly count: number
	/** Resources that one task needs. */
	readonly needs: Resources
	/** Expected duration of one task, in milliseconds; 0 if the caller gave none. */
	readonly estimate: number
	/** Indices of the earlier steps whose tasks must all be done first. */
	readonly dependsOn: readonly number[]
	/** Whether the tasks write checkpoints from which they can resume. */
	readonly checkpoints: boolean
	/** Whether the tasks only work while all of them run. */
	readonly gang: boolean
	/** Whether the tasks slow each other down when they run on several racks. */
	readonly sameRack: boolean
	/** Label that the backend server must have; empty if none is required. */
	readonly requiredLabel: string
	/** Label of the rack that holds the data; empty for none. */
	readonly dataRack: string
	/** Maximum tasks of one occurrence of the step on one backend server; 0 for no limit. */
	readonly maximumPerBackend: number
	/** Whether the caller marked the step as speculative; scheduling does not depend on it. */
	readonly speculative: boolean
	/** Whether the tasks run until the job is cancelled, instead of ending by themselves. */
	readonly lasting: boolean
	/** Image that the tasks run. Tasks with the same image behave alike. */
	readonly image: string
	/** Target tail latency of tasks that serve users, in milliseconds; 0 for other tasks. */
	readonly targetLatency: number
	/** Whether the tasks are best-effort: they reserve no cpu and use what others leave idle. */
	readonly fills: boolean
	/** Maximum tasks that the owner may make unavailable at the same time; undefined for no limit. */
	readonly mayMiss: number | undefined
}
