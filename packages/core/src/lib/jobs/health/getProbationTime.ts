/** Time from a start in which a task is taken to crash its backend server if it does, in milliseconds. */
const BASE_TIME = 300
/** Factor for each further crash, for tasks that crash their server later. */
const GROWTH = 4
const MAXIMUM_TIME = 4_800

/**
 * Returns how long a run must last to show that its start does not crash the backend server, in
 * milliseconds.
 *
 * @param crashes - crashes of servers that the task may have caused
 * @public
 */
export function getProbationTime(crashes: number): number {
	return Math.min(MAXIMUM_TIME, BASE_TIME * GROWTH ** Math.max(0, crashes - 1))
}
