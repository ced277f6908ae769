import type { StatusReport } from '@mastichead/core'

/**
 * Where the operators' server gets the state of the fleet and of this daemon from.
 *
 * @public
 */
export abstract class StatusSource {
	/** The fleet as this daemon knows it now. */
	abstract getStatus(): StatusReport

	/** Why the daemon takes no requests now; undefined when it does. */
	abstract getUnreadyReason(): string | undefined
}
