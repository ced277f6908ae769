import { createServer, type Socket } from 'node:net'

/**
 * Starts a backend server on loopback whose responses the test controls byte by byte.
 *
 * @param respond - called with the head and body of each complete request
 * @internal
 */
export async function createTestBackendServer(respond: (socket: Socket, request: string) => void) {
	const sockets = new Set<Socket>()
	const receivedRequests: string[] = []
	const server = createServer((socket) => {
		sockets.add(socket)
		let text = ''
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1')
			for (let end = getEndIndex(text); end > 0 && end <= text.length; end = getEndIndex(text)) {
				const request = text.slice(0, end)
				text = text.slice(end)
				receivedRequests.push(request)
				respond(socket, request)
			}
		})
		socket.on('error', () => undefined)
		socket.on('close', () => sockets.delete(socket))
	})
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	const address = server.address()
	if (address === null || typeof address === 'string') throw new Error('the server has no port')
	const stop = async () => {
		for (const socket of sockets) socket.destroy()
		await new Promise((resolve) => server.close(resolve))
	}
	return { address: `127.0.0.1:${address.port}`, sockets, receivedRequests, stop }
}

/**
 * Returns the end of the first request in `text`; 0 if its head or its chunked body is incomplete.
 * The end may lie after `text` if a body with a length is incomplete.
 */
function getEndIndex(text: string): number {
	const head = text.indexOf('\r\n\r\n')
	if (head < 0) return 0
	if (/transfer-encoding: chunked/i.test(text.slice(0, head))) {
		const end = text.indexOf('0\r\n\r\n', head)
		return end < 0 ? 0 : end + 5
	}
	const length = /content-length: (\d+)/i.exec(text.slice(0, head))?.[1] ?? '0'
	return head + 4 + Number(length)
}
