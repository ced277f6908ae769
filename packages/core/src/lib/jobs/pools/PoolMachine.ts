/**
 * A machine in a pool, as the pool policy sees it.
 *
 * @public
 */
export interface PoolMachine {
	readonly id: string
	/**
	 * Time since which it has been idle, on the owner's monotonic clock in milliseconds; undefined if it
	 * is in use or must not be moved.
	 */
	readonly idleSince: number | undefined
}
