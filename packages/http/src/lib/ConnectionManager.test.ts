import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import type { ClientConnection } from './ClientConnection.js'
import { ConnectionManager } from './ConnectionManager.js'

const LIMITS = {
	connections: 10,
	calls: 3,
	callsPerConnection: 3,
	bodyBytes: 1_000,
	unparsedBytes: 100_000,
}
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

let server: Server | undefined

afterEach(() => {
	server?.closeAllConnections()
	server?.close()
})

it('ends the serving of requests whose answers wait when their connection is closed', async () => {
	const { manager, responses, open } = await createFixture()
	const socket = open()
	socket.write(REQUEST.repeat(3))
	await expect.poll(() => responses.length).toBe(3)
	expect(manager.isFull).toBe(true)
	socket.destroy()
	await expect.poll(() => manager.connectionCount).toBe(0)
	expect(manager.isFull).toBe(false)
})

it('does not serve a request whose connection was closed before', async () => {
	const { manager, responses, open, begun } = await createFixture({ serves: false })
	const socket = open()
	socket.write(REQUEST.repeat(3))
	await expect.poll(() => responses.length).toBe(3)
	socket.destroy()
	await expect.poll(() => manager.connectionCount).toBe(0)
	for (const [index, response] of responses.entries()) {
		const connection = begun[index]
		if (connection) manager.serveUntilAnswered(connection, response)
	}
	expect(manager.isFull).toBe(false)
})

it('counts requests until they have been answered', async () => {
	const { manager, responses, open } = await createFixture()
	const socket = open()
	socket.write(REQUEST.repeat(2))
	await expect.poll(() => responses.length).toBe(2)
	expect(manager.callCount).toBe(2)
	for (const response of responses) response.end()
	await expect.poll(() => manager.callCount).toBe(0)
	expect(manager.connectionCount).toBe(1)
	socket.destroy()
})

async function createFixture({ serves = true } = {}) {
	const responses: ServerResponse[] = []
	const begun: ClientConnection[] = []
	server = createServer((request, response) => {
		const connection = manager.begin(request, response)
		if (!connection) return
		if (serves) manager.serveUntilAnswered(connection, response)
		begun.push(connection)
		responses.push(response)
	})
	const manager = new ConnectionManager({ server, limits: LIMITS, onDisconnect: () => undefined })
	server.listen(0, '127.0.0.1')
	await once(server, 'listening')
	const { port } = server.address() as AddressInfo
	const open = () => connect({ host: '127.0.0.1', port })
	return { manager, responses, open, begun }
}
