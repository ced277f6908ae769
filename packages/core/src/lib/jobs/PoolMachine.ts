/**
 * A machine in a pool, as the pool policy sees it.
 *
 * @public
 */
export interface PoolMachine {
	readonly id: string
	/** Time since which it has been idle, in milliseconds; undefined if it is in use or reserved. */
	readonly idleSince: number | undefined
}
