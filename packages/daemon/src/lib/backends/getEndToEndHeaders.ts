/** Headers of one connection, which are not passed on. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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
 * Headers of an answer that are passed on to the caller: those of the connection, and those that
 * its `Connection` header names, are left out.
 *
 * @param headers - by lower-case name
 * @internal
 */
export function getEndToEndHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>
): Record<string, string | string[]> {
	const named = new Set(
		String(headers.connection ?? '')
			.split(',')
			.map((name) => name.trim().toLowerCase())
	)
	const passed: Record<string, string | string[]> = {}
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || CONNECTION_HEADERS.has(name) || named.has(name)) continue
		passed[name] = value
	}
	return passed
}
