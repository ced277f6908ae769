import type { TimerService } from '@mastichead/core'

/**
 * What the command line has of its surroundings.
 *
 * @internal
 */
export interface CliContext {
	readonly environment: Readonly<Record<string, string | undefined>>
	readonly timers: TimerService
	readonly writeOutput: (text: string) => void
	readonly writeError: (text: string) => void
	/** Aborted when the user ends a command that runs until then. */
	readonly signal: AbortSignal
}
