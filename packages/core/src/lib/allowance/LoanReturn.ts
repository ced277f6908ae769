import type { InstanceId } from '../ids/InstanceId.js'

/**
 * Gives back all of a loan but `remaining` units. Idempotent; the remainder never grows.
 *
 * @public
 */
export interface LoanReturn {
	readonly loan: string
	readonly lender: InstanceId
	readonly remaining: number
}
