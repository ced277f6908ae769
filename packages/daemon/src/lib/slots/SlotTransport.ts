import type { InstanceId, SlotGrant, SlotReport } from '@mastichead/core'

/**
 * Sends slot reports and grants to other daemons. Every call ends within a timeout.
 *
 * @public
 */
export abstract class SlotTransport {
	/** Returns the other daemons that were heard from recently and are not leaving. */
	abstract getReachableInstances(): readonly InstanceId[]

	/**
	 * Sends a report to the owner of a pool.
	 *
	 * @returns the grants for this daemon, or undefined if the owner did not answer
	 */
	abstract sendReport(
		owner: InstanceId,
		report: SlotReport
	): Promise<readonly SlotGrant[] | undefined>

	/**
	 * Sends grants to another daemon.
	 *
	 * @returns whether it answered
	 */
	abstract sendGrants(instance: InstanceId, grants: readonly SlotGrant[]): Promise<boolean>
}
