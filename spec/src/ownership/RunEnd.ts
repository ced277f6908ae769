/** End of a run. A backend server lists it until the owner acknowledges it. */
export interface RunEnd {
	readonly task: number
	readonly attempt: number
	readonly outcome: 'done' | 'stopped' | 'lapsed'
}
