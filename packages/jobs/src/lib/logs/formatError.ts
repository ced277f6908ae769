/** Maximum length of a formatted error, in characters. */
const MAXIMUM_LENGTH = 1_500

/**
 * Formats an unexpected error for the event log, with its stack if it has one.
 *
 * @public
 */
export function formatError(error: unknown): string {
	const text = error instanceof Error ? (error.stack ?? error.message) : String(error)
	return text.slice(0, MAXIMUM_LENGTH)
}
