import type { AttemptOutcome } from '@mastichead/core'

/**
 * Handle of a running attempt.
 *
 * @internal
 */
export interface RunningAttempt {
	/** Resolves at the end of the attempt; never rejects. */
	readonly outcome: Promise<AttemptOutcome>
	/** Resumes the response after `onData` paused it. */
	resume(): void
	/** Aborts the attempt and destroys its connection. */
	cancel(): void
}
