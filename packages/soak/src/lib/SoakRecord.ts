import type { RunEvent } from '@mastichead/standins'
import type { CallRecord } from './CallRecord.js'
import type { JobRecord } from './JobRecord.js'

/**
 * Everything that callers and backend servers saw in a soak. Instants are in milliseconds since 1970.
 *
 * @public
 */
export interface SoakRecord {
	readonly jobs: readonly JobRecord[]
	readonly calls: readonly CallRecord[]
	readonly runs: readonly RunEvent[]
	/** Times in which faults were active. */
	readonly faults: readonly { readonly from: number; readonly to: number }[]
	/** Times in which each instance was paused, ended or cut off, by its number. */
	readonly disturbances: readonly {
		readonly instance: number
		readonly from: number
		readonly to: number
	}[]
	/** Keys and the instants at which the operator withdrew them. */
	readonly withdrawals: readonly { readonly key: string; readonly at: number }[]
	/** Cores per task, and the cores that the team may use; in thousandths. */
	readonly taskCpu: number
	readonly cpuLimit: number
}
