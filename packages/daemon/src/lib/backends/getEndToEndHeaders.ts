/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
])

/**
 * Returns the headers of a response to forward to the caller: all except the hop-by-hop headers and
 * those listed in its `Connection` header.
 *
 * @param headers - keyed by lower-case name
 * @internal
 */
export function getEndToEndHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>
): Record<string, string | string[]> {
	const listed = new Set(
		String(headers.connection ?? '')
			.split(',')
			.map((name) => name.trim().toLowerCase())
	)
	const forwarded: Record<string, string | string[]> = {}
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || listed.has(name)) continue
		forwarded[name] = value
	}
	return forwarded
}
