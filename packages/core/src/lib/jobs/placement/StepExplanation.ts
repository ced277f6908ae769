/**
 * State of the tasks of one step of a job, and why its waiting tasks are not placed.
 *
 * - `not-due`: the scheduled occurrence has not started
 * - `dependency`: an earlier step is unfinished
 * - `pausing`: a start order was just refused, or members of the gang still run
 * - `team-limit`: the team has reached its limit
 * - `no-backend`: the pool has no usable backend server
 * - `too-large`: no usable server could host a task even if it were empty
 * - `no-room`: every server that could host a task is full, or has as many of the step as it may
 * - `probation`: a waiting task may have crashed a server, and is to be started apart from other jobs
 * - `order`: there is room, but other work is placed first or the next plan is pending
 *
 * @public
 */
export interface StepExplanation {
	readonly step: number
	readonly occurrence: number
	readonly waiting: number
	readonly placed: number
	readonly done: number
	/** Tasks that failed or were dropped with their job. */
	readonly ended: number
	/** Undefined if no task is waiting. */
	readonly reason:
		| 'not-due'
		| 'dependency'
		| 'pausing'
		| 'team-limit'
		| 'no-backend'
		| 'too-large'
		| 'no-room'
		| 'probation'
		| 'order'
		| undefined
}
