import type { StatusReport } from '@mastichead/core'

/**
 * Provides the status of the fleet and of this daemon to the operator server.
 *
 * @public
 */
export abstract class StatusSource {
	/** Returns the status of the fleet as known to this daemon. */
	abstract getStatus(): StatusReport

	/** Returns why the daemon does not accept requests; undefined if it does. */
	abstract getUnreadyReason(): string | undefined
}
