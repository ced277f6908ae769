import { createServer } from 'node:net'
import { Server, ServerCredentials } from '@grpc/grpc-js'
import { describe, expect, it } from 'vitest'
import { createTestSettings } from './testing/createTestSettings.js'
import { describeStartError } from './describeStartError.js'

function listen(port: number): Promise<{ port: number; close: () => void }> {
	const server = createServer()
	return new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, '127.0.0.1', () => {
			const address = server.address()
			const boundPort = typeof address === 'object' ? (address?.port ?? 0) : 0
			resolve({ port: boundPort, close: () => server.close() })
		})
	})
}

describe('describeStartError', () => {
	it('names the setting of a port that is in use', async () => {
		const holder = await listen(0)
		const error = await listen(holder.port).catch((reason: unknown) => reason)
		const { listeners, ...settings } = createTestSettings()
		const operators = { host: '127.0.0.1', port: holder.port }
		const text = describeStartError(error, { ...settings, listeners: { ...listeners, operators } })
		expect(text).toBe(`listeners.operators.port: 127.0.0.1:${holder.port} is in use`)
		holder.close()
	})

	it('names the setting of the peer port, whose error has no code and port fields', async () => {
		const holder = await listen(0)
		const credentials = ServerCredentials.createInsecure()
		const error = await new Promise((resolve) => {
			new Server().bindAsync(`127.0.0.1:${holder.port}`, credentials, resolve)
		})
		const { listeners, ...settings } = createTestSettings()
		const peers = { host: '127.0.0.1', port: holder.port }
		const text = describeStartError(error, { ...settings, listeners: { ...listeners, peers } })
		expect(text).toBe(`listeners.peers.port: 127.0.0.1:${holder.port} is in use`)
		holder.close()
	})

	it('shortens other errors to their first line', () => {
		expect(describeStartError(new Error('first\nsecond'), createTestSettings())).toBe('first')
	})
})
