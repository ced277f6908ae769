import type { IncomingMessage } from 'node:http'

/**
 * Reads the body of a request that is not wanted, so that its connection can be used for others.
 *
 * @param maximumBytes - largest body that is worth reading for that
 * @param onExcess - called once if the body is larger
 * @public
 */
export function discardBody(
	request: IncomingMessage,
	maximumBytes: number,
	onExcess: () => void
): void {
	let bytes = 0
	const count = (chunk: Buffer): void => {
		bytes += chunk.length
		if (bytes <= maximumBytes) return
		request.off('data', count)
		onExcess()
	}
	request.on('data', count)
}
