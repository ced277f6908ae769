/** Fields that may hold a secret or a body; their values are redacted. */
const REDACTED_FIELDS = new Set(['key', 'secret', 'token', 'authorization', 'body', 'password'])

/**
 * Formats a log event as `time=… level=… event=… field=value`. Quotes values that are empty or
 * contain spaces, quotes, equals signs, backslashes or control characters. Omits undefined fields.
 *
 * @internal
 */
export function formatLogLine(
	time: Date,
	level: string,
	event: string,
	fields: Readonly<Record<string, unknown>>
): string {
	const pairs = [`time=${time.toISOString()}`, `level=${level}`, `event=${formatValue(event)}`]
	for (const [field, value] of Object.entries(fields)) {
		if (value === undefined) continue
		const shown = REDACTED_FIELDS.has(field.toLowerCase()) ? 'redacted' : formatValue(value)
		pairs.push(`${field}=${shown}`)
	}
	return pairs.join(' ')
}

function formatValue(value: unknown): string {
	const text = getText(value)
	return /^[^\s"=\\\p{Cc}]+$/u.test(text) ? text : JSON.stringify(text)
}

function getText(value: unknown): string {
	if (typeof value === 'string') return value
	if (value instanceof Error) return value.message
	if (typeof value === 'object' && value !== null) return JSON.stringify(value)
	return String(value)
}
