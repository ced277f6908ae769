import type { SubmissionRecord } from './SubmissionRecord.js'

/** State of the submission model: all calls are about one id. */
export interface SubmissionState {
	/** Records by stream, in the order of their offsets. */
	readonly streams: readonly (readonly SubmissionRecord[])[]
	readonly calls: readonly CallState[]
	readonly instances: readonly InstanceState[]
	/** Teams whose job was started. */
	readonly started: readonly string[]
	readonly restarts: number
	/** Whether the records have been deleted. */
	readonly isForgotten: boolean
}

interface CallState {
	/** Instance that serves the call; undefined before the call. */
	readonly instance?: number
	/** Whether the log may still carry out its append. */
	readonly isInFlight: boolean
	readonly stream?: number
	/** Offset of its record; undefined until it is stored. */
	readonly offset?: number
	/** Undefined until it is answered; `none` if the caller has given up. */
	readonly answer?: 'accepted' | 'refused' | 'cancelled' | 'unknown' | 'none'
}

interface InstanceState {
	/** Number of records read of each stream. */
	readonly read: readonly number[]
	/** Number of records of each stream that its start loaded. */
	readonly loaded: readonly number[]
}
