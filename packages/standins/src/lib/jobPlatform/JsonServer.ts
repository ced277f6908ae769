import { createServer, type IncomingMessage, type Server } from 'node:http'

interface JsonAnswer {
	readonly status: number
	readonly body: object | Buffer
}

/**
 * HTTP server of a stand-in that passes every call to one handler and answers with JSON or bytes.
 *
 * @public
 */
export class JsonServer {
	private readonly server: Server

	/**
	 * @param handle - handles a call; a result of undefined leaves the call unanswered
	 */
	constructor(
		handle: (call: {
			readonly method: string
			readonly url: URL
			readonly body: Buffer
			readonly headers: IncomingMessage['headers']
		}) => Promise<JsonAnswer | undefined>
	) {
		this.server = createServer((request, response) => {
			const chunks: Buffer[] = []
			request.on('data', (chunk: Buffer) => chunks.push(chunk))
			request.on('end', () => {
				const url = new URL(request.url ?? '/', 'http://standin')
				const { method = 'GET', headers } = request
				void handle({ method, url, body: Buffer.concat(chunks), headers }).then((answer) => {
					if (!answer) return
					const { status, body } = answer
					response.writeHead(status)
					response.end(Buffer.isBuffer(body) ? body : JSON.stringify(body))
				})
			})
		})
	}

	/** Listens on a loopback address. */
	listen(host: string, port: number): Promise<void> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject)
			this.server.listen(port, host, resolve)
		})
	}

	close(): Promise<void> {
		this.server.closeAllConnections()
		return new Promise((resolve) => {
			this.server.close(() => {
				resolve()
			})
		})
	}
}
