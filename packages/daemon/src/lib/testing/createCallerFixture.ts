import type { Socket } from 'node:net'
import { request } from 'undici'
import { createTestBackendServer } from './createTestBackendServer.js'
import { createCallerStack } from './createCallerStack.js'
import { createTestFleetState } from './createTestFleetState.js'
import { getFreePort } from './getFreePort.js'
import { testAuthorization } from './testAuthorization.js'
import { waitFor } from './waitFor.js'

const NO_HELD_RESOURCES = { requests: 0, allowances: 0, slots: 0, claims: 0, connections: 0 }

interface Options {
	/** The responder of each backend server. */
	readonly responders: readonly ((socket: Socket, request: string) => void)[]
	readonly runMilliseconds?: number
	readonly timeoutMilliseconds?: number
	/** Further `limits` settings, as inline YAML that starts with a comma. */
	readonly limits?: string
}

interface PostOptions {
	readonly queue?: string
	readonly body?: string
	readonly headers?: Record<string, string>
}

/**
 * Starts the caller stack of a daemon with backend servers that the test controls.
 *
 * @internal
 */
export async function createCallerFixture(options: Options) {
	const servers = await Promise.all(
		options.responders.map((responder) => createTestBackendServer(responder))
	)
	const addresses = servers.map((server) => server.address)
	const state = createTestFleetState({ ...options, addresses })
	const port = await getFreePort()
	const stack = await createCallerStack({ state, port, limits: options.limits ?? '' })
	const url = `http://127.0.0.1:${port}`
	const post = async ({ queue = 'quotes', body = 'hello', headers = {} }: PostOptions = {}) => {
		const response = await request(`${url}/v1/queues/${queue}/requests`, {
			method: 'POST',
			headers: { authorization: testAuthorization, ...headers },
			body,
		})
		const text = await response.body.text()
		const verdict = response.headers['mastichead-verdict']
		return { status: response.statusCode, verdict, headers: response.headers, text }
	}
	const expectAllReleased = () =>
		waitFor(() => JSON.stringify(stack.getHeldCounts()) === JSON.stringify(NO_HELD_RESOURCES), {
			describe: () => JSON.stringify(stack.getHeldCounts()),
		})
	const stop = async () => {
		stack.stop()
		await Promise.all(servers.map((server) => server.stop()))
	}
	return { ...stack, port, url, state, servers, post, expectAllReleased, stop }
}
