/** What the log or an owner says of a task. */
export interface TaskStatus {
	readonly phase: 'waiting' | 'placed' | 'done'
	readonly server: number
	readonly attempt: number
}
