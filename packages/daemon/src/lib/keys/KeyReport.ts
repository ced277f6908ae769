import type { InstanceId, KeyId, Milliseconds } from '@mastichead/core'

/**
 * What one daemon tells another about keys. It carries durations only, since clocks differ.
 *
 * @public
 */
export interface KeyReport {
	/** Name that the teller joined under. */
	readonly instance: InstanceId
	/** Keys known as withdrawn that the log does not show as withdrawn yet. */
	readonly withdrawnKeys: readonly KeyId[]
	/**
	 * Age of the newest knowledge of the log that the teller's state includes, directly or through
	 * peers; undefined when it has none.
	 */
	readonly age: Milliseconds | undefined
	/** Offset that the teller has folded up to; -1 while it is not ready. */
	readonly offset: number
}
