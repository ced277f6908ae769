/** HTTP server and client for the stand-ins. */
import http from 'node:http'

/**
 * Serves JSON calls at a loopback address. `handle` returns `{ status, body }`, or undefined to leave the
 * call unanswered.
 */
export function serve(host, port, handle) {
	const sockets = new Set()
	const server = http.createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
		const chunks = []
		request.on('data', (chunk) => chunks.push(chunk))
		request.on('error', () => undefined)
		request.on('end', async () => {
			const url = new URL(request.url, 'http://standin')
			const answer = await handle({
				call: `${request.method} ${url.pathname}`,
				query: url.searchParams,
				headers: request.headers,
				body: Buffer.concat(chunks),
			})
			if (!answer || response.destroyed) return
			const { status, body } = answer
			const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body ?? {}))
			response.writeHead(status, { 'Content-Length': bytes.length })
			response.end(bytes)
		})
	})
	server.on('connection', (socket) => {
		sockets.add(socket)
		socket.on('error', () => undefined)
		socket.on('close', () => sockets.delete(socket))
	})
	return new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, host, () => {
			resolve({
				/** Stops listening and resets all connections, as a process that ends does. */
				kill: () => {
					server.close()
					for (const socket of sockets) socket.resetAndDestroy()
				},
			})
		})
	})
}

/** Sends a request over its own connection. Resolves to `{ status, text }`; status 0 without an answer. */
export function send({ host, port, method, path, headers = {}, body = '', timeout = 3_000 }) {
	return new Promise((resolve) => {
		const request = http.request(
			{ host, port, method, path, agent: false, headers: { ...headers, Connection: 'close' } },
			(response) => {
				const chunks = []
				response.on('data', (chunk) => chunks.push(chunk))
				response.on('error', () => resolve({ status: 0, text: 'broken' }))
				response.on('end', () => {
					resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString() })
				})
			}
		)
		request.setTimeout(timeout, () => request.destroy(new Error('timeout')))
		request.on('error', (error) => resolve({ status: 0, text: error.code ?? error.message }))
		request.end(body)
	})
}
