import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { BorrowedLoan } from './BorrowedLoan.js'

/**
 * One unit of allowance, in use by one request.
 *
 * @public
 */
export interface AllowanceUnit {
	readonly team: TeamId
	/** Time of the holder's clock at which the unit was acquired; the run bound counts from here. */
	readonly startedAt: Milliseconds
	/** Loan that the unit belongs to; undefined for a unit of the holder's own allowance. */
	loan: BorrowedLoan | undefined
	/** Whether the unit has been released. */
	isReleased: boolean
}
