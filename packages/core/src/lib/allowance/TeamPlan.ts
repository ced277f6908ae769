import type { InstanceId } from '../ids/InstanceId.js'

/**
 * What a member does about its allowance for one team. Counts are units.
 *
 * @public
 */
export interface TeamPlan {
	/** Change of the allowance to ask of the ledger. */
	readonly delta: number
	/** Most that the member lets run. */
	readonly maximumRunning: number
	/** Capacity that it keeps: it returns loans and lends its own above this. */
	readonly targetCapacity: number
	readonly loans: readonly { readonly lender: InstanceId; readonly amount: number }[]
}
