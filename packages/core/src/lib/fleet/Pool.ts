import type { PoolId } from '../ids/PoolId.js'

/**
 * A pool of backend servers with its availability budget.
 *
 * @public
 */
export interface Pool {
	readonly name: PoolId
	/** Whether its backend servers may be lent to other pools. */
	readonly spare: boolean
	/** Backend servers that must stay in service during planned work. */
	readonly minimumAvailable: number
	/** Backend servers that may be out of service at once, for whatever reason, when planned work starts. */
	readonly maximumUnavailable: number
}
