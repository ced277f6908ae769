/**
 * Amounts of the resources that tasks use on backend servers.
 *
 * @public
 */
export interface Resources {
	/** Millicores. */
	readonly cpu: number
	/** Megabytes. */
	readonly memory: number
	/** Number of devices. */
	readonly gpu: number
}
