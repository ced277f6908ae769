import type { IncomingMessage } from 'node:http'
import { readBody, type BodyMemory } from '@mastichead/http'

/**
 * Reads a JSON body. A body that ends early counts as malformed.
 *
 * @param maximumBytes - maximum body size
 * @param memory - bodies of all clients; one that exceeds it beside others is `dropped`
 * @internal
 */
export async function readJsonBody(
	request: IncomingMessage,
	maximumBytes: number,
	memory: BodyMemory
): Promise<
	| { readonly type: 'json'; readonly body: unknown }
	| { readonly type: 'too-large' | 'dropped' | 'malformed' }
> {
	const body = await readBody(request, maximumBytes, memory)
	if (body.kind === 'aborted') return { type: 'malformed' }
	if (body.kind !== 'complete') return { type: body.kind }
	try {
		return { type: 'json', body: body.text === '' ? undefined : (JSON.parse(body.text) as unknown) }
	} catch {
		return { type: 'malformed' }
	} finally {
		body.release()
	}
}
