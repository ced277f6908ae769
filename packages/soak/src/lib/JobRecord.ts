/**
 * What the caller of a job saw. Instants are in milliseconds since 1970.
 *
 * @public
 */
export interface JobRecord {
	readonly id: string
	/** Number of its tasks. */
	readonly tasks: number
	/** Whether its tasks run until they are stopped. */
	readonly lasting: boolean
	/** Whether its tasks crash each backend server that starts them. */
	readonly crashing: boolean
	/** When it was accepted; undefined if no answer said so. */
	acceptedAt: number | undefined
	/** Whether every attempt to submit it was refused as not run. */
	refused: boolean
	/** When its cancellation was first requested; undefined if it was not. */
	cancelSentAt: number | undefined
	/** When its cancellation was accepted; undefined if it was not cancelled. */
	cancelledAt: number | undefined
	/** When it was first shown as `completed`; undefined if it never was. */
	completedAt: number | undefined
	/** Latest state that was shown; undefined before the first. */
	state: string | undefined
}
