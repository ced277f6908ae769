import { createServer } from 'node:http'

/**
 * Serves HTTP on a loopback address. `handle` gets the call and returns `{ status, body }`, or undefined
 * to leave the call without an answer.
 */
export async function serve(host, port, handle) {
	const server = createServer((request, response) => {
		const chunks = []
		request.on('data', (chunk) => chunks.push(chunk))
		request.on('error', () => undefined)
		request.on('end', async () => {
			const url = new URL(request.url, 'http://standin')
			const call = {
				method: request.method,
				path: url.pathname,
				query: url.searchParams,
				headers: request.headers,
				body: Buffer.concat(chunks),
			}
			const answer = await handle(call)
			if (!answer || response.destroyed) return
			const body = Buffer.isBuffer(answer.body) ? answer.body : JSON.stringify(answer.body ?? {})
			response.writeHead(answer.status, { 'Content-Length': Buffer.byteLength(body) })
			response.end(body)
		})
	})
	server.keepAliveTimeout = 60_000
	await new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, host, resolve)
	})
	return {
		/** Ends all connections, and accepts none any more. */
		close: () => {
			server.closeAllConnections()
			return new Promise((resolve) => server.close(resolve))
		},
	}
}

export function pause(milliseconds) {
	return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Waits until `condition` holds; returns whether it did in time. */
export async function waitFor(condition, milliseconds) {
	const until = Date.now() + milliseconds
	for (;;) {
		if (await condition()) return true
		if (Date.now() > until) return false
		await pause(50)
	}
}
