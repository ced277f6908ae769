const MILLISECONDS_PER_SECOND = 1_000
const MILLISECONDS_PER_MINUTE = 60 * MILLISECONDS_PER_SECOND
const MILLISECONDS_PER_HOUR = 60 * MILLISECONDS_PER_MINUTE

/**
 * Formats a duration in the largest unit that fits, such as `840 ms`, `12.3 s` or `4 min`.
 *
 * @param milliseconds - undefined is formatted as `never`
 * @internal
 */
export function formatDuration(milliseconds: number | undefined): string {
	if (milliseconds === undefined) return 'never'
	if (milliseconds < MILLISECONDS_PER_SECOND) return `${Math.round(milliseconds)} ms`
	if (milliseconds < MILLISECONDS_PER_MINUTE)
		return `${(milliseconds / MILLISECONDS_PER_SECOND).toFixed(1)} s`
	if (milliseconds < MILLISECONDS_PER_HOUR)
		return `${Math.round(milliseconds / MILLISECONDS_PER_MINUTE)} min`
	return `${(milliseconds / MILLISECONDS_PER_HOUR).toFixed(1)} h`
}
