/**
 * The operator's request to take machines down for maintenance.
 *
 * @public
 */
export interface MaintenanceWave {
	readonly number: number
	readonly machines: readonly string[]
	/** Seconds after the request within which all machines must be done. */
	readonly deadlineSeconds: number
	/** Maximum number of machines that may be down for this wave at once. */
	readonly parallelism: number
}
