import type { InstanceId } from '../ids/InstanceId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * A daemon that another one does not hear.
 *
 * @public
 */
export interface UnreachableDaemon {
	readonly instance: InstanceId
	/** The daemon that does not hear it. */
	readonly by: InstanceId
	/** Age of the last word that came through; absent when there was none. */
	readonly ageMilliseconds?: Milliseconds | undefined
}
