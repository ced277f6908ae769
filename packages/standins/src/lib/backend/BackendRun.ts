/**
 * One run of a request at a backend server stand-in. Times are milliseconds of the machine's
 * monotonic clock, which all processes on the machine share.
 *
 * @public
 */
export interface BackendRun {
	readonly team: string
	readonly startedAt: number
	/** Absent while the request is running. */
	readonly endedAt?: number
}
