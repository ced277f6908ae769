import type { Socket } from 'node:net'
import { request } from 'undici'
import { createTestBackendServer } from './createTestBackendServer.js'
import { createCallerStack } from './createCallerStack.js'
import { createTestFleetState } from './createTestFleetState.js'
import { getFreePort } from './getFreePort.js'
import { testAuthorization } from './testAuthorization.js'
import { waitFor } from './waitFor.js'

const NOTHING = { requests: 0, allowances: 0, slots: 0, claims: 0, connections: 0 }

interface Options {
	/** How each backend server answers. */
	readonly answers: readonly ((socket: Socket, request: string) => void)[]
	readonly runMilliseconds?: number
	readonly timeoutMilliseconds?: number
	/** Further limits of the settings, as YAML. */
	readonly limits?: string
}

interface Post {
	readonly queue?: string
	readonly body?: string
	readonly headers?: Record<string, string>
}

/**
 * Starts the callers' path of a daemon before backend servers of the test's choice.
 *
 * @internal
 */
export async function createCallerFixture(options: Options) {
	const servers = await Promise.all(
		options.answers.map((answer) => createTestBackendServer(answer))
	)
	const addresses = servers.map((server) => server.address)
	const state = createTestFleetState({ ...options, addresses })
	const port = await getFreePort()
	const path = await createCallerStack({ state, port, limits: options.limits ?? '' })
	const url = `http://127.0.0.1:${port}`
	const post = async ({ queue = 'quotes', body = 'hello', headers = {} }: Post = {}) => {
		const answer = await request(`${url}/v1/queues/${queue}/requests`, {
			method: 'POST',
			headers: { authorization: testAuthorization, ...headers },
			body,
		})
		const text = await answer.body.text()
		const verdict = answer.headers['mastichead-verdict']
		return { status: answer.statusCode, verdict, headers: answer.headers, text }
	}
	const expectNothingHeld = () =>
		waitFor(() => JSON.stringify(path.getHeld()) === JSON.stringify(NOTHING), {
			describe: () => JSON.stringify(path.getHeld()),
		})
	const stop = async () => {
		path.stop()
		await Promise.all(servers.map((server) => server.stop()))
	}
	return { ...path, port, url, state, servers, post, expectNothingHeld, stop }
}
