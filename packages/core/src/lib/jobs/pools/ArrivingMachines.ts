/**
 * Machines that are on their way to a service's pool.
 *
 * @public
 */
export interface ArrivingMachines {
	readonly cores: number
	/** Estimated time until they can run tasks, in milliseconds. */
	readonly delay: number
}
