import type { InstanceId, KeyId, Milliseconds } from '@mastichead/core'

/**
 * What a daemon reports to its peers about keys. Contains durations but no instants, since clocks
 * differ between daemons.
 *
 * @public
 */
export interface KeyReport {
	/** Name that the sender joined under. */
	readonly instance: InstanceId
	/** Keys known to be withdrawn whose withdrawal is not in the log yet. */
	readonly withdrawnKeys: readonly KeyId[]
	/**
	 * Age in milliseconds of the newest log contents that the sender's state includes, read directly
	 * or from peers; undefined if there are none.
	 */
	readonly age: Milliseconds | undefined
	/** Offset up to which the sender has folded the log; -1 while it is not ready. */
	readonly offset: number
}
