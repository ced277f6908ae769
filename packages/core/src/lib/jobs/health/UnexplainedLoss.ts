import type { CrashSuspicion } from './CrashSuspicion.js'

/**
 * A run that was lost with a backend server which closed its connections and was not heard of before its
 * leases expired. Whether the server crashed shows when its machine is heard of again.
 *
 * @public
 */
export interface UnexplainedLoss {
	/** Machine that the server ran on. */
	readonly machine: string
	/** Start of the server's process, in milliseconds since 1970. */
	readonly incarnation: number
	/** What a crash would say about the task. */
	readonly suspicion: CrashSuspicion
}
