import type { InstanceId } from '../ids/InstanceId.js'

/**
 * Returns all units of a loan except `remaining`. Idempotent: a later return of the same loan never
 * raises `remaining`.
 *
 * @public
 */
export interface LoanReturn {
	readonly loan: string
	readonly lender: InstanceId
	readonly remaining: number
}
