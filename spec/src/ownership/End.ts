/** End of a run that a backend server lists until it is acknowledged. */
export interface End {
	readonly task: number
	readonly attempt: number
	readonly how: 'done' | 'stopped' | 'lapsed'
}
