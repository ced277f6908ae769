/** End of a run that a backend server lists until it is acknowledged. */
export interface RunEnd {
	readonly task: number
	readonly attempt: number
	readonly outcome: 'done' | 'stopped' | 'lapsed'
}
