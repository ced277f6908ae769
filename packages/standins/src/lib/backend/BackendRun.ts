/**
 * One run at a backend server stand-in. Instants are milliseconds of the machine's monotonic clock,
 * which all its processes share.
 *
 * @public
 */
export interface BackendRun {
	readonly team: string
	readonly startedAt: number
	/** Absent while it runs. */
	readonly endedAt?: number
}
