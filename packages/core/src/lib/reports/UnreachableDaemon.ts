import type { InstanceId } from '../ids/InstanceId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * A daemon from which another daemon receives no digests.
 *
 * @public
 */
export interface UnreachableDaemon {
	readonly instance: InstanceId
	/** Daemon that receives no digests from it. */
	readonly by: InstanceId
	/** Age of the last digest that was received; absent if there was none. */
	readonly ageMilliseconds?: Milliseconds | undefined
}
