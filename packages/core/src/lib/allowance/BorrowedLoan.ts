import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { AllowanceUnit } from './AllowanceUnit.js'

/**
 * A loan of allowance from another member.
 *
 * @public
 */
export interface BorrowedLoan {
	readonly name: string
	readonly lender: InstanceId
	readonly team: TeamId
	/** Number of units; never grows. */
	amount: number
	/** Time of the borrower's clock from which no request may start on the loan. */
	endsAt: Milliseconds
	/** Longest run of a request that may start on the loan. */
	runMilliseconds: Milliseconds
	/** Units in use. */
	readonly units: Set<AllowanceUnit>
}
