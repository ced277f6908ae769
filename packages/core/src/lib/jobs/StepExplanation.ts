/**
 * Where the tasks of one step of a job stand, and why those wait that do.
 *
 * `not-due`: its time has not come; `dependency`: an earlier step is unfinished; `pausing`: an order
 * was refused or a run failed just now; `team-limit`: the team has as much running as it may;
 * `no-backend`: the pool has no usable backend server; `too-large`: no usable one could take a task
 * even if it were empty; `no-room`: those that could are full; `order`: there is room, and other work
 * goes first or the next plan is due.
 *
 * @public
 */
export interface StepExplanation {
	readonly step: number
	readonly occurrence: number
	readonly waiting: number
	readonly placed: number
	readonly done: number
	/** Failed, or given up with their job. */
	readonly ended: number
	/** Undefined while no task waits. */
	readonly reason:
		| 'not-due'
		| 'dependency'
		| 'pausing'
		| 'team-limit'
		| 'no-backend'
		| 'too-large'
		| 'no-room'
		| 'order'
		| undefined
}
