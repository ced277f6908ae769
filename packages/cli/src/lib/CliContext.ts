import type { TimerService } from '@mastichead/core'

/**
 * Environment in which a command runs: variables, timers, output streams and interruption.
 *
 * @internal
 */
export interface CliContext {
	/** Environment variables. */
	readonly environment: Readonly<Record<string, string | undefined>>
	readonly timers: TimerService
	readonly writeOutput: (text: string) => void
	readonly writeError: (text: string) => void
	/** Aborted when the user interrupts the command. */
	readonly signal: AbortSignal
}
