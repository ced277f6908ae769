import type { PoolId } from '../ids/PoolId.js'

/**
 * A pool of backend servers with its availability budget.
 *
 * @public
 */
export interface Pool {
	readonly name: PoolId
	/** Whether its backend servers may be moved to other pools on demand. */
	readonly spare: boolean
	/** Number of backend servers that planned work must leave in service. */
	readonly minimumAvailable: number
	/** Maximum number of backend servers out of service, for any reason, to start planned work. */
	readonly maximumUnavailable: number
}
