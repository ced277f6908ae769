/**
 * A fault of a random scenario. Times are in milliseconds.
 *
 * - `server-gone`: a backend server crashes for good; its registration is removed later
 * - `server-back`: a backend server crashes and starts again under its id
 * - `server-cut`: no instance reaches a backend server, which goes on
 * - `server-cut-from-owner`: the owner does not reach a backend server
 * - `server-cut-from-others`: only the owner reaches a backend server
 * - `server-answers-lost`: a backend server carries out the owner's calls, but their answers are lost
 * - `rebalance`: another instance becomes the owner
 * - `owner-stopped`: the owner hands over, ends, and is started again
 * - `owner-killed`: the owner is killed and started again
 * - `owner-paused`: the owner's process is suspended
 * - `owner-cut`: the owner does not reach the log
 * - `owner-answers-lost`: the log carries out the owner's appends and joins, but their answers are lost
 * - `instance-killed`, `instance-paused`: the same, of any instance
 * - `power-loss`: all instances are killed and started again
 * - `late-starts`: the owner's start orders get no answer, and arrive late
 * - `progress-down`, `intake-down`: a stream does not answer
 * - `compact`: the log drops all but the newest records
 * - `slow-log`: the log is slow for the owner
 *
 * @internal
 */
export interface ScenarioFault {
	readonly kind:
		| 'server-gone'
		| 'server-back'
		| 'server-cut'
		| 'server-cut-from-owner'
		| 'server-cut-from-others'
		| 'server-answers-lost'
		| 'rebalance'
		| 'owner-stopped'
		| 'owner-killed'
		| 'owner-paused'
		| 'owner-cut'
		| 'owner-answers-lost'
		| 'instance-killed'
		| 'instance-paused'
		| 'power-loss'
		| 'late-starts'
		| 'progress-down'
		| 'intake-down'
		| 'compact'
		| 'slow-log'
	/** Time since the fault before began, or since the start of the faults. */
	readonly pause: number
	readonly duration: number
	/** Selects the backend server or instance, modulo the number of candidates. */
	readonly target: number
}
