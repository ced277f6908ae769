/**
 * Faults that a soak injects, from outside the programs.
 *
 * - `kill`, `terminate`: an instance gets SIGKILL or SIGTERM and is started again
 * - `pause`: an instance is stopped by SIGSTOP and goes on later
 * - `clock-step`: the wall clock of an instance is wrong for a while
 * - `store-*`: the link of an instance to the store is disturbed
 * - `store-outage`: the links of all instances to the store are silent
 * - `server-*`: the link to a backend server is disturbed
 * - `server-restart`: a backend server starts again under its id and knows nothing
 * - `server-gone`: a backend server crashes and does not come back
 * - `server-leaves`: a backend server reports that it is draining, and leaves
 * - `key-withdrawal`: the callers' key is replaced by another one
 *
 * @public
 */
export type SoakFault =
	| 'kill'
	| 'terminate'
	| 'pause'
	| 'clock-step'
	| 'store-silent'
	| 'store-requests-lost'
	| 'store-answers-lost'
	| 'store-delayed'
	| 'store-reset'
	| 'store-refused'
	| 'store-outage'
	| 'server-silent'
	| 'server-requests-lost'
	| 'server-answers-lost'
	| 'server-delayed'
	| 'server-reset'
	| 'server-restart'
	| 'server-gone'
	| 'server-leaves'
	| 'key-withdrawal'
