import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { Pool } from 'undici'

const CONNECTIONS_PER_SERVER = 8

const [port = '0', ...addresses] = process.argv.slice(2)
const pools = addresses.map(
	(address) => new Pool(`http://${address}`, { connections: CONNECTIONS_PER_SERVER })
)
let nextPool = 0

async function forward(request: IncomingMessage, response: ServerResponse): Promise<void> {
	const pool = pools[nextPool++ % pools.length]
	if (!pool) throw new Error('no backend server addresses were given')
	const backendResponse = await pool.request({ path: '/', method: 'POST', body: request })
	response.writeHead(backendResponse.statusCode, { 'content-type': 'application/json' })
	backendResponse.body.pipe(response)
}

const server = createServer((request, response) => {
	forward(request, response).catch(() => response.destroy())
})
server.listen(Number(port), '127.0.0.1', () => {
	console.log(`event=forwarder_started port=${port}`)
})
process.once('SIGTERM', () => {
	process.exit(0)
})
