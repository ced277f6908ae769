import type { IncomingMessage } from 'node:http'

/**
 * Reads a JSON body. A body that ends early counts as malformed.
 *
 * @param maximumBytes - maximum body size
 * @internal
 */
export async function readJsonBody(
	request: IncomingMessage,
	maximumBytes: number
): Promise<
	| { readonly type: 'json'; readonly body: unknown }
	| { readonly type: 'too-large' }
	| { readonly type: 'malformed' }
> {
	const chunks: Buffer[] = []
	let bytes = 0
	try {
		for await (const chunk of request as AsyncIterable<Buffer>) {
			bytes += chunk.length
			if (bytes > maximumBytes) return { type: 'too-large' }
			chunks.push(chunk)
		}
		if (bytes === 0) return { type: 'json', body: undefined }
		return { type: 'json', body: JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown }
	} catch {
		return { type: 'malformed' }
	}
}
