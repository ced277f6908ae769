/**
 * Request of the operator to maintain machines.
 *
 * @public
 */
export interface MaintenanceWave {
	readonly number: number
	readonly machines: readonly string[]
	/** Seconds from the request within which all are to be done. */
	readonly deadline: number
	/** Most machines that may be down for it at once. */
	readonly atOnce: number
}
