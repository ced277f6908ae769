import { createServer, type Server } from 'node:http'

/**
 * Starts one HTTP server that answers health checks for many backend servers, each of which has its
 * own loopback address.
 *
 * @internal
 */
export async function startHealthResponder(port: number): Promise<Server> {
	const server = createServer((_request, response) => {
		response.writeHead(200, { 'content-length': 2 })
		response.end('{}')
	})
	await new Promise<void>((resolve) => {
		server.listen(port, '0.0.0.0', resolve)
	})
	return server
}
