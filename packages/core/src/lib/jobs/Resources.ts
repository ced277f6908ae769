/**
 * An amount of what tasks use on backend servers.
 *
 * @public
 */
export interface Resources {
	/** Thousandths of a core. */
	readonly cpu: number
	/** Megabytes. */
	readonly memory: number
	/** Whole devices. */
	readonly gpu: number
}
