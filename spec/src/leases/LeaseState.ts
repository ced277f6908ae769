import type { LeaseInstance } from './LeaseInstance.js'
import type { LeaseLog } from './LeaseLog.js'
import type { LeaseRecord } from './LeaseRecord.js'

/** State of the lease model. All times are in ticks from now, so that time needs no bound. */
export interface LeaseState {
	readonly log: LeaseLog
	readonly instances: readonly LeaseInstance[]
	/** By token, from 1: index of the instance that holds or held the term. */
	readonly holders: readonly number[]
	/** Records that may still be written, sorted. No process waits for them. */
	readonly lateRecords: readonly LeaseRecord[]
	/** Orders that may still arrive before their leases end, sorted. */
	readonly orders: readonly { readonly token: number; readonly ticks: number }[]
	/** The server: newest fencing token seen, and ticks until its run ends; 0 if it has none. */
	readonly server: { readonly token: number; readonly runTicks: number }
	readonly isStartedElsewhere: boolean
	/** Actions of each kind that may still be taken within the bounds of the search. */
	readonly remaining: {
		readonly terms: number
		readonly restarts: number
		readonly lostRecords: number
		readonly ends: number
	}
}
