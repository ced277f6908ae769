import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { AllowanceUnit } from './AllowanceUnit.js'

/**
 * Allowance that another member lent.
 *
 * @public
 */
export interface BorrowedLoan {
	readonly name: string
	readonly lender: InstanceId
	readonly team: TeamId
	/** Units held; never grows. */
	amount: number
	/** Instant of the borrower's clock from which nothing may be started on it. */
	endsAt: Milliseconds
	runMilliseconds: Milliseconds
	readonly units: Set<AllowanceUnit>
}
