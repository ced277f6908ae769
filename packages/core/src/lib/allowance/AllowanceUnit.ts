import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { BorrowedLoan } from './BorrowedLoan.js'

/**
 * One unit of allowance in use by a request.
 *
 * @public
 */
export interface AllowanceUnit {
	readonly team: TeamId
	/** Instant of the holder's clock at which it was taken; the run must end within its bound from here. */
	readonly startedAt: Milliseconds
	/** Loan that it is counted against; absent for the holder's own allowance. */
	loan: BorrowedLoan | undefined
	isFinished: boolean
}
