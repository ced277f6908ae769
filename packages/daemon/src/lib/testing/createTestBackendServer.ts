import { createServer, type Socket } from 'node:net'

/**
 * Starts a backend server on loopback that answers each request with bytes of the test's choice.
 *
 * @param answer - called with the head and body that came so far, whenever a request is complete
 * @internal
 */
export async function createTestBackendServer(answer: (socket: Socket, request: string) => void) {
	const sockets = new Set<Socket>()
	const seen: string[] = []
	const server = createServer((socket) => {
		sockets.add(socket)
		let text = ''
		socket.on('data', (chunk) => {
			text += chunk.toString('latin1')
			for (let end = getEnd(text); end > 0 && end <= text.length; end = getEnd(text)) {
				const request = text.slice(0, end)
				text = text.slice(end)
				seen.push(request)
				answer(socket, request)
			}
		})
		socket.on('error', () => undefined)
		socket.on('close', () => sockets.delete(socket))
	})
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	const address = server.address()
	if (address === null || typeof address === 'string') throw new Error('no port')
	const stop = async () => {
		for (const socket of sockets) socket.destroy()
		await new Promise((resolve) => server.close(resolve))
	}
	return { address: `127.0.0.1:${address.port}`, sockets, seen, stop }
}

/** Where the first request of `text` ends; 0 while its head is not complete. */
function getEnd(text: string): number {
	const head = text.indexOf('\r\n\r\n')
	if (head < 0) return 0
	if (/transfer-encoding: chunked/i.test(text.slice(0, head))) {
		const end = text.indexOf('0\r\n\r\n', head)
		return end < 0 ? 0 : end + 5
	}
	const length = /content-length: (\d+)/i.exec(text.slice(0, head))?.[1] ?? '0'
	return head + 4 + Number(length)
}
