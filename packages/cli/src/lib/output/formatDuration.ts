const SECOND = 1_000
const MINUTE = 60 * SECOND
const HOUR = 60 * MINUTE

/**
 * Shows a duration in its largest fitting unit, such as `840 ms`, `12.3 s` or `4 min`.
 *
 * @param milliseconds - undefined is shown as `never`
 * @internal
 */
export function formatDuration(milliseconds: number | undefined): string {
	if (milliseconds === undefined) return 'never'
	if (milliseconds < SECOND) return `${Math.round(milliseconds)} ms`
	if (milliseconds < MINUTE) return `${(milliseconds / SECOND).toFixed(1)} s`
	if (milliseconds < HOUR) return `${Math.round(milliseconds / MINUTE)} min`
	return `${(milliseconds / HOUR).toFixed(1)} h`
}
