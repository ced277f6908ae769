import type { RunEnd } from './RunEnd.js'

/** A backend server in its current incarnation. */
export interface ServerState {
	readonly incarnation: number
	/** Newest fencing token seen. */
	readonly token: number
	/** Newest term of which a message was accepted. Only the invariant checks use it. */
	readonly term: number
	/** Tick at which the leases of all runs end and the runs are stopped. */
	readonly leaseEnd: number
	readonly running: readonly (readonly [task: number, attempt: number])[]
	/** Ends that no owner has acknowledged yet. */
	readonly ended: readonly RunEnd[]
	/** By task: newest attempt that can no longer start. */
	readonly barred: readonly number[]
}
