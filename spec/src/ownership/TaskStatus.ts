/** Phase and latest placement of a task, as recorded in the log or as decided by an owner. */
export interface TaskStatus {
	readonly phase: 'waiting' | 'placed' | 'done'
	readonly server: number
	readonly attempt: number
}
