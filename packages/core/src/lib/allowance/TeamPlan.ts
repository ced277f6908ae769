import type { InstanceId } from '../ids/InstanceId.js'

/**
 * Plan of a member for its allowance of one team. Amounts are in units.
 *
 * @public
 */
export interface TeamPlan {
	/** Change of the allowance to propose to the log. */
	readonly delta: number
	/** Maximum number of requests that may run at the member. */
	readonly maximumRunning: number
	/** Capacity to keep; borrowed units above it are returned. */
	readonly targetCapacity: number
	/** Loans to request. */
	readonly loans: readonly { readonly lender: InstanceId; readonly amount: number }[]
}
