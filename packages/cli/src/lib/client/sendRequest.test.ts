import { MockAgent } from 'undici'
import { describe, expect, it } from 'vitest'
import { sendRequest } from './sendRequest.js'

const SERVER = 'https://127.0.0.1:1'

function send(code: string) {
	const dispatcher = new MockAgent()
	dispatcher.disableNetConnect()
	const error = Object.assign(new Error(`failed with ${code}`), { code })
	dispatcher.get(SERVER).intercept({ path: '/v1/fleet', method: 'PUT' }).replyWithError(error)
	return sendRequest({
		server: SERVER,
		method: 'PUT',
		path: '/v1/fleet',
		token: 't',
		body: {},
		timeout: 1_000,
		dispatcher,
	})
}

describe('sendRequest', () => {
	it.each([
		['ECONNREFUSED', 'not-sent'],
		['UND_ERR_CONNECT_TIMEOUT', 'not-sent'],
		['SELF_SIGNED_CERT_IN_CHAIN', 'not-sent'],
		['UNABLE_TO_VERIFY_LEAF_SIGNATURE', 'not-sent'],
		['ERR_TLS_CERT_ALTNAME_INVALID', 'not-sent'],
		['CERT_HAS_EXPIRED', 'not-sent'],
		['ECONNRESET', 'lost'],
		['UND_ERR_SOCKET', 'lost'],
		['UND_ERR_HEADERS_TIMEOUT', 'lost'],
	])('classifies a request that failed with %s as %s', async (code, type) => {
		expect(await send(code)).toEqual({ type, reason: `failed with ${code}` })
	})
})
