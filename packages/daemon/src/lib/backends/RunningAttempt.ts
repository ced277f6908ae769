import type { AttemptOutcome } from '@mastichead/core'

/**
 * Handle on an attempt that runs.
 *
 * @internal
 */
export interface RunningAttempt {
	/** Resolves with the end of the attempt; never rejects. */
	readonly outcome: Promise<AttemptOutcome>
	/** Goes on after `onData` asked to pause. */
	resume(): void
	/** Breaks the attempt off and destroys its connection. */
	cancel(): void
}
