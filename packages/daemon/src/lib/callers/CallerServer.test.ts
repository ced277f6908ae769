import { connect, type Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { afterEach, expect, test } from 'vitest'
import { createBackendServer } from '../testing/createBackendServer.js'
import { createCallerPath } from '../testing/createCallerPath.js'
import { createTestFleetState } from '../testing/createTestFleetState.js'
import { getFreePort } from '../testing/getFreePort.js'
import { waitFor } from '../testing/waitFor.js'

const KEY = `Bearer mh_0000000000000001_${'s'.repeat(43)}`
const WITHDRAWN = `Bearer mh_0000000000000002_${'s'.repeat(43)}`
const WRONG = `Bearer mh_0000000000000001_${'t'.repeat(43)}`
const NOTHING = { requests: 0, allowances: 0, slots: 0, claims: 0, connections: 0 }

type Answer = (socket: Socket, text: string) => void

const stops: (() => void | Promise<void>)[] = []

afterEach(async () => {
	for (const stop of stops.splice(0).reverse()) await stop()
})

function reply(body: string, headers = ''): string {
	return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n${headers}\r\n${body}`
}

const echo: Answer = (socket, text) => {
	socket.write(reply(text.slice(text.indexOf('\r\n\r\n') + 4)))
}

async function createFixture(
	answers: readonly Answer[] = [echo],
	options: { runMilliseconds?: number; timeoutMilliseconds?: number; limits?: string } = {}
) {
	const servers = await Promise.all(answers.map((answer) => createBackendServer(answer)))
	stops.push(...servers.map((server) => server.stop))
	const addresses = servers.map((server) => server.address)
	const state = createTestFleetState({ addresses, ...options })
	const port = await getFreePort()
	const path = await createCallerPath({ state, port, limits: options.limits ?? '' })
	stops.push(path.stop)
	const url = `http://127.0.0.1:${port}`
	const post = async (
		change: { queue?: string; body?: string; headers?: Record<string, string> } = {}
	) => {
		const { statusCode, headers, body } = await request(
			`${url}/v1/queues/${change.queue ?? 'quotes'}/requests`,
			{
				method: 'POST',
				headers: { authorization: KEY, ...change.headers },
				body: change.body ?? 'hello',
			}
		)
		const text = await body.text()
		return { status: statusCode, verdict: headers['mastichead-verdict'], headers, text }
	}
	const expectNothingHeld = () =>
		waitFor(() => JSON.stringify(path.getHeld()) === JSON.stringify(NOTHING), {
			describe: () => JSON.stringify(path.getHeld()),
		})
	return { ...path, port, url, state, servers, post, expectNothingHeld }
}

function getErrorType(text: string): string {
	return (JSON.parse(text) as { error: { type: string } }).error.type
}

async function sendRaw(port: number, text: string): Promise<string> {
	const socket = connect(port, '127.0.0.1')
	let received = ''
	socket.setEncoding('utf8')
	socket.on('data', (chunk: string) => (received += chunk))
	socket.on('error', () => undefined)
	socket.write(text)
	await new Promise((resolve) => socket.once('close', resolve))
	return received
}

test('passes request and answer on whole, with verdict and headers', async () => {
	const { post, servers, expectNothingHeld } = await createFixture()
	const answer = await post({ headers: { 'mastichead-path': '/quotes?x=1' } })
	expect(answer).toMatchObject({ status: 200, verdict: 'ran', text: 'hello' })
	expect(answer.headers['mastichead-backend-server']).toBe('server-0')
	expect(servers[0]?.seen[0]).toMatch(/^POST \/quotes\?x=1 HTTP\/1.1/)
	expect(servers[0]?.seen[0]).not.toContain('authorization')
	await expectNothingHeld()
})

test.each([
	['unknown queue', { queue: 'none' }, 404, 'unknown-queue'],
	['key without the form of one', { headers: { authorization: 'Bearer x' } }, 401, 'key-malformed'],
	['wrong key', { headers: { authorization: WRONG } }, 401, 'key-refused'],
	['withdrawn key', { headers: { authorization: WITHDRAWN } }, 401, 'key-refused'],
	['key of another team', { queue: 'other' }, 403, 'team-refused'],
	['idempotent', { headers: { 'mastichead-idempotent': 'maybe' } }, 400, 'header-malformed'],
	['timeout', { headers: { 'mastichead-timeout-milliseconds': '-1' } }, 400, 'header-malformed'],
	['path', { headers: { 'mastichead-path': 'x' } }, 400, 'header-malformed'],
	['request id', { headers: { 'mastichead-request-id': 'a b' } }, 400, 'header-malformed'],
	['invented id', { headers: { 'mastichead-request-id': 'zz' } }, 400, 'request-id-unknown'],
	['queue with a malformed escape', { queue: '%zz' }, 404, 'not-found'],
	['body over the limit', { body: 'x'.repeat(200_001) }, 413, 'body-too-large'],
])('refuses %s as not run', async (_, change, status, error) => {
	const fixture = await createFixture([echo], { limits: ', bodyBytes: 200000' })
	const answer = await fixture.post(change)
	expect([answer.status, getErrorType(answer.text)]).toEqual([status, error])
	expect(answer.verdict).toBe('not-run')
	expect(fixture.servers[0]?.seen).toEqual([])
	await fixture.expectNothingHeld()
})

test('refuses a request without a key, except on an open queue', async () => {
	const { url } = await createFixture()
	const send = (queue: string) =>
		request(`${url}/v1/queues/${queue}/requests`, { method: 'POST', body: 'hello' })
	const refused = await send('quotes')
	expect([refused.statusCode, refused.headers['mastichead-verdict']]).toEqual([401, 'not-run'])
	expect((await send('open')).statusCode).toBe(200)
})

test.each([
	['bytes that are not HTTP', 'nonsense\r\n\r\n', 400],
	['headers over the limit', `GET / HTTP/1.1\r\nX: ${'x'.repeat(20_000)}\r\n\r\n`, 431],
	['headers that do not come in time', 'POST / HTTP/1.1\r\nHost:', 408],
	[
		'a body that does not come in time',
		`POST /v1/queues/quotes/requests HTTP/1.1\r\nHost: x\r\nAuthorization: ${KEY}\r\nContent-Length: 9\r\n\r\nx`,
		undefined,
	],
])('ends %s', { timeout: 40_000 }, async (_, text, status) => {
	const { port, expectNothingHeld, servers } = await createFixture()
	const received = await sendRaw(port, text)
	if (status !== undefined) {
		expect(received).toContain(`HTTP/1.1 ${status} `)
		expect(received).toContain('Mastichead-Verdict: not-run')
	}
	expect(servers[0]?.seen).toEqual([])
	await expectNothingHeld()
})

test('a streamed body over the limit ends with 413 and never reaches its end', async () => {
	const fixture = await createFixture([echo], { limits: ', bodyBytes: 200000' })
	const head = `POST /v1/queues/quotes/requests HTTP/1.1\r\nHost: x\r\nAuthorization: ${KEY}\r\n`
	const chunk = `${(50_000).toString(16)}\r\n${'x'.repeat(50_000)}\r\n`
	const text = `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(5)}0\r\n\r\n`
	const received = await sendRaw(fixture.port, text)
	expect(received).toContain('HTTP/1.1 413 ')
	expect(received.toLowerCase()).toContain('mastichead-verdict: may-have-run')
	expect(fixture.servers[0]?.seen).toEqual([])
	await fixture.expectNothingHeld()
})

const broken: [string, Answer, number, string][] = [
	['bytes that are not HTTP', (socket) => socket.end('nonsense\r\n\r\n'), 502, 'backend-malformed'],
	['a reset before the head', (socket) => socket.resetAndDestroy(), 502, 'backend-reset'],
	['an end before the head', (socket) => socket.end(), 502, 'backend-reset'],
	['silence', () => undefined, 504, 'backend-timeout'],
	[
		'a body without a length',
		(socket) => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello'),
		502,
		'backend-malformed',
	],
	[
		'the id of another request',
		(socket) => socket.write(reply('hello', 'Mastichead-Request-Id: another\r\n')),
		502,
		'backend-malformed',
	],
]

test.each(broken)(
	'tells %s from the backend server as may-have-run',
	async (_, answer, status, error) => {
		const fixture = await createFixture([answer], { runMilliseconds: 300 })
		const result = await fixture.post()
		expect([result.status, getErrorType(result.text)]).toEqual([status, error])
		expect(result.verdict).toBe('may-have-run')
		expect(fixture.servers[0]?.seen).toHaveLength(1)
		await fixture.expectNothingHeld()
	}
)

const head = 'HTTP/1.1 200 OK\r\n'
const cut: [string, Answer][] = [
	['ends before its length', (socket) => socket.end(`${head}Content-Length: 9\r\n\r\nhello`)],
	[
		'ends before its last chunk',
		(socket) => socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`),
	],
	[
		'ends before its last chunk on a connection that closes',
		(socket) =>
			socket.end(`${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`),
	],
	['stalls', (socket) => socket.write(`${head}Content-Length: 9\r\n\r\nhello`)],
	[
		'is reset midway',
		(socket) => {
			socket.write(`${head}Content-Length: 9\r\n\r\nhello`)
			setTimeout(() => socket.resetAndDestroy(), 50)
		},
	],
]

test.each(cut)('never passes an answer that %s off as whole', async (_, answer) => {
	const fixture = await createFixture([answer], { runMilliseconds: 300 })
	await expect(fixture.post()).rejects.toThrow()
	await fixture.expectNothingHeld()
})

test('a refusal by a backend server is tried again elsewhere within the budget', async () => {
	const refusal = 'HTTP/1.1 503 X\r\nMastichead-Verdict: not-run\r\nContent-Length: 0\r\n\r\n'
	const refusing = new Set<number>()
	let refused = 0
	const answers = [0, 1].map((index): Answer => (socket, text) => {
		if (refusing.has(index)) refused++
		if (refusing.has(index)) socket.write(refusal)
		else echo(socket, text)
	})
	const fixture = await createFixture(answers)
	for (let i = 0; i < 20; i++) expect((await fixture.post()).status).toBe(200)

	refusing.add(0)
	let requests = 0
	while (refused === 0 && requests++ < 200) expect((await fixture.post()).status).toBe(200)
	expect(refused).toBe(1)

	refusing.add(1)
	const earned = Math.floor((20 + requests + 20) / 10)
	for (let i = 0; i < 20; i++) {
		const { status, verdict, headers } = await fixture.post()
		expect([status, verdict, headers['retry-after']]).toEqual([503, 'not-run', '1'])
	}
	expect(refused).toBeGreaterThanOrEqual(21)
	expect(refused).toBeLessThanOrEqual(20 + earned)
	await fixture.expectNothingHeld()
})

test('a refusal by every backend server ends as not run once the budget is spent', async () => {
	const refusal = 'HTTP/1.1 503 X\r\nMastichead-Verdict: not-run\r\nContent-Length: 0\r\n\r\n'
	const refuse: Answer = (socket) => socket.write(refusal)
	const fixture = await createFixture([refuse, refuse])
	const results = []
	for (let i = 0; i < 20; i++) results.push(await fixture.post())
	for (const { status, verdict, headers } of results) {
		expect([status, verdict, headers['retry-after']]).toEqual([503, 'not-run', '1'])
	}
	const seen = fixture.servers.reduce((sum, server) => sum + server.seen.length, 0)
	expect(seen).toBeLessThanOrEqual(22)
	await fixture.expectNothingHeld()
})

test('a backend server that is down costs attempts only, and every answer is not run', async () => {
	const fixture = await createFixture()
	await fixture.servers[0]?.stop()
	const results = await Promise.all(Array.from({ length: 20 }, () => fixture.post()))
	for (const { status, verdict } of results) expect([status, verdict]).toEqual([503, 'not-run'])
	await fixture.expectNothingHeld()
})

test('a caller that goes away while it waits is never sent', async () => {
	const fixture = await createFixture([() => undefined], { runMilliseconds: 1500 })
	const busy = Array.from({ length: 8 }, () => fixture.post())
	await waitFor(() => fixture.servers[0]?.seen.length === 8)
	const abort = new AbortController()
	const gone = request(`${fixture.url}/v1/queues/quotes/requests`, {
		method: 'POST',
		headers: { authorization: KEY },
		signal: abort.signal,
	})
	await waitFor(() => fixture.requests.size === 9)
	abort.abort()
	await expect(gone).rejects.toThrow()
	await waitFor(() => fixture.requests.size === 8)
	await Promise.all(busy)
	await fixture.expectNothingHeld()
	expect(fixture.servers[0]?.seen).toHaveLength(8)
})

test('a caller that goes away while it runs closes the connection to the backend server', async () => {
	const fixture = await createFixture([() => undefined], { runMilliseconds: 1000 })
	const abort = new AbortController()
	const gone = request(`${fixture.url}/v1/queues/quotes/requests`, {
		method: 'POST',
		headers: { authorization: KEY },
		signal: abort.signal,
	})
	await waitFor(() => fixture.servers[0]?.seen.length === 1)
	abort.abort()
	await expect(gone).rejects.toThrow()
	await waitFor(() => fixture.servers[0]?.sockets.size === 0, { timeout: 500 })
	await fixture.expectNothingHeld()
})

test('an answer that comes twice reaches its own caller only', async () => {
	const twice: Answer = (socket, text) => {
		const id = /mastichead-request-id: (\S+)/i.exec(text)?.[1] ?? ''
		const answer = reply(id, `Mastichead-Request-Id: ${id}\r\n`)
		socket.write(answer)
		socket.write(answer)
	}
	const fixture = await createFixture([twice])
	for (let round = 0; round < 20; round++) {
		const results = await Promise.all(Array.from({ length: 4 }, () => fixture.post()))
		for (const { status, headers, text } of results) {
			if (status === 200) expect(text).toBe(headers['mastichead-request-id'])
		}
	}
	await fixture.expectNothingHeld()
})

test('a large answer is read from the backend server only as fast as its caller reads', async () => {
	const size = 100 * 1024 * 1024
	const part = Buffer.alloc(256 * 1024, 120)
	let written = 0
	const large: Answer = (socket) => {
		socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${size}\r\n\r\n`)
		const fill = () => {
			while (written < size) {
				written += part.length
				if (!socket.write(part)) return
			}
		}
		socket.on('drain', fill)
		fill()
	}
	const fixture = await createFixture([large], { runMilliseconds: 20_000 })
	const { body } = await request(`${fixture.url}/v1/queues/quotes/requests`, {
		method: 'POST',
		headers: { authorization: KEY },
	})
	let before = -1
	await waitFor(async () => {
		const isStill = written === before
		before = written
		await delay(100)
		return isStill
	})
	expect(written).toBeLessThan(32 * 1024 * 1024)
	let received = 0
	for await (const chunk of body) received += (chunk as Buffer).length
	expect(received).toBe(size)
	await fixture.expectNothingHeld()
})

test('a shutdown lets the running requests end and refuses new ones as not run', async () => {
	const slow: Answer = (socket) => {
		setTimeout(() => socket.write(reply('done')), 300)
	}
	const fixture = await createFixture([slow])
	const running = Array.from({ length: 8 }, () => fixture.post())
	await waitFor(() => fixture.servers[0]?.seen.length === 8)
	fixture.callers.leave()
	const ready = await request(`${fixture.url}/readyz`)
	expect(ready.statusCode).toBe(503)
	await ready.body.dump()
	const refused = await fixture.post()
	expect([refused.status, refused.verdict]).toEqual([503, 'not-run'])
	expect(refused.headers.connection).toBe('close')
	await fixture.requests.waitUntilIdle()
	await fixture.callers.waitUntilQuiet()
	for (const { status, text } of await Promise.all(running)) {
		expect([status, text]).toEqual([200, 'done'])
	}
	await fixture.expectNothingHeld()
})
