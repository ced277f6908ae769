import type { RunEnd } from './RunEnd.js'

/** A backend server in one of its lives. */
export interface ServerState {
	readonly incarnation: number
	readonly token: number
	/** Newest term whose order was carried out; the protocol does not know it, the check does. */
	readonly term: number
	/** Tick at which everything that runs is ended. */
	readonly leaseEnd: number
	readonly running: readonly (readonly [task: number, attempt: number])[]
	readonly ended: readonly RunEnd[]
	/** By task: highest attempt that can no longer begin. */
	readonly barred: readonly number[]
}
