import type { InstanceId, SlotGrant, SlotReport } from '@mastichead/core'

/**
 * Carries reports and grants of slots between entry instances. Every call ends within a bound.
 *
 * @public
 */
export abstract class SlotTransport {
	/** Other entry instances that answered or called lately. */
	abstract getReachableInstances(): readonly InstanceId[]

	/**
	 * Reports to the owner of a pool.
	 *
	 * @returns what it grants at once; undefined when no answer came
	 */
	abstract sendReport(
		owner: InstanceId,
		report: SlotReport
	): Promise<readonly SlotGrant[] | undefined>

	/**
	 * Brings grants to an entry instance.
	 *
	 * @returns whether it answered
	 */
	abstract sendGrants(instance: InstanceId, grants: readonly SlotGrant[]): Promise<boolean>
}
