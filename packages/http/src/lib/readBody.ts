import type { IncomingMessage } from 'node:http'
import type { BodyMemory } from './BodyMemory.js'

/**
 * A request's body, or why there is none:
 *
 * - `too-large`: it exceeds the largest body
 * - `dropped`: the bodies of all clients together exceed their memory
 * - `aborted`: the client closed the connection
 */
type ReadBodyResult =
	| { readonly kind: 'complete'; readonly text: string; readonly release: () => void }
	| { readonly kind: 'too-large' | 'dropped' | 'aborted' }

/**
 * Reads the body of a request. Resolves as soon as it is clear that the body is not wanted; the rest is
 * then discarded.
 *
 * @param maximumBytes - largest body
 * @public
 */
export function readBody(
	request: IncomingMessage,
	maximumBytes: number,
	memory: BodyMemory
): Promise<ReadBodyResult> {
	return new Promise((resolve) => {
		let finished = false
		const finish = (result: ReadBodyResult): void => {
			if (finished) return
			finished = true
			request.removeAllListeners('data')
			if (result.kind !== 'complete') memory.release(body)
			request.resume()
			resolve(result)
		}
		const body = memory.begin(() => {
			finish({ kind: 'dropped' })
		})
		request.on('data', (chunk: Buffer) => {
			if (body.length + chunk.length > maximumBytes) finish({ kind: 'too-large' })
			else memory.append(body, chunk)
		})
		request.once('end', () => {
			if (finished) return
			const release = (): void => {
				memory.release(body)
			}
			finish({ kind: 'complete', text: memory.complete(body).toString('utf8'), release })
		})
		for (const event of ['error', 'close'] as const)
			request.once(event, () => {
				finish({ kind: 'aborted' })
			})
		if (Number(request.headers['content-length']) > maximumBytes) finish({ kind: 'too-large' })
	})
}
