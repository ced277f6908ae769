import type { Socket } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { afterEach, expect, test } from 'vitest'
import { createCallerFixture } from '../testing/createCallerFixture.js'
import { createHttpResponse } from '../testing/createHttpResponse.js'
import { echoBody } from '../testing/echoBody.js'
import { testAuthorization } from '../testing/testAuthorization.js'
import { waitFor } from '../testing/waitFor.js'

const fixtures: { stop: () => Promise<void> }[] = []

afterEach(async () => {
	for (const fixture of fixtures.splice(0)) await fixture.stop()
})

type Responder = (socket: Socket, request: string) => void

async function createFixture(
	responders: readonly Responder[] = [echoBody],
	options: { runMilliseconds?: number; limits?: string } = {}
) {
	const fixture = await createCallerFixture({ responders, ...options })
	fixtures.push(fixture)
	return fixture
}

function getErrorType(text: string): string {
	return (JSON.parse(text) as { error: { type: string } }).error.type
}

const uncertainFailures: [string, Responder, number, string][] = [
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
		(socket) => socket.write(createHttpResponse('hello', 'Mastichead-Request-Id: another\r\n')),
		502,
		'backend-malformed',
	],
]

test.each(uncertainFailures)(
	'reports %s from the backend server as may-have-run',
	async (_, responder, status, error) => {
		const fixture = await createFixture([responder], { runMilliseconds: 300 })
		const result = await fixture.post()
		expect([result.status, getErrorType(result.text)]).toEqual([status, error])
		expect(result.verdict).toBe('may-have-run')
		expect(fixture.servers[0]?.receivedRequests).toHaveLength(1)
		await fixture.expectAllReleased()
	}
)

const head = 'HTTP/1.1 200 OK\r\n'
const incompleteResponses: [string, Responder][] = [
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

test.each(incompleteResponses)(
	'never forwards a response that %s as complete',
	async (_, responder) => {
		const fixture = await createFixture([responder], { runMilliseconds: 300 })
		await expect(fixture.post()).rejects.toThrow()
		await fixture.expectAllReleased()
	}
)

test('a refusal by a backend server is retried at another one within the retry budget', async () => {
	const refusal = 'HTTP/1.1 503 X\r\nMastichead-Verdict: not-run\r\nContent-Length: 0\r\n\r\n'
	const refusing = new Set<number>()
	let refused = 0
	const responders = [0, 1].map((index): Responder => (socket, text) => {
		if (refusing.has(index)) refused++
		if (refusing.has(index)) socket.write(refusal)
		else echoBody(socket, text)
	})
	const fixture = await createFixture(responders)
	for (let i = 0; i < 20; i++) expect((await fixture.post()).status).toBe(200)

	refusing.add(0)
	let requests = 0
	while (refused === 0 && requests++ < 200) expect((await fixture.post()).status).toBe(200)
	expect(refused).toBe(1)

	refusing.add(1)
	const earnedRetries = Math.floor((20 + requests + 20) / 10)
	for (let i = 0; i < 20; i++) {
		const { status, verdict, headers } = await fixture.post()
		expect([status, verdict, headers['retry-after']]).toEqual([503, 'not-run', '1'])
	}
	expect(refused).toBeGreaterThanOrEqual(21)
	expect(refused).toBeLessThanOrEqual(20 + earnedRetries)
	await fixture.expectAllReleased()
})

test('refusals by every backend server end as not run once the retry budget is exhausted', async () => {
	const refusal = 'HTTP/1.1 503 X\r\nMastichead-Verdict: not-run\r\nContent-Length: 0\r\n\r\n'
	const refuse: Responder = (socket) => socket.write(refusal)
	const fixture = await createFixture([refuse, refuse])
	const results = []
	for (let i = 0; i < 20; i++) results.push(await fixture.post())
	for (const { status, verdict, headers } of results) {
		expect([status, verdict, headers['retry-after']]).toEqual([503, 'not-run', '1'])
	}
	const requestCount = fixture.servers.reduce(
		(sum, server) => sum + server.receivedRequests.length,
		0
	)
	expect(requestCount).toBeLessThanOrEqual(22)
	await fixture.expectAllReleased()
})

test('requests to a backend server that is down end as not run', async () => {
	const fixture = await createFixture()
	await fixture.servers[0]?.stop()
	const results = await Promise.all(Array.from({ length: 20 }, () => fixture.post()))
	for (const { status, verdict } of results) expect([status, verdict]).toEqual([503, 'not-run'])
	await fixture.expectAllReleased()
})

test('a connection that timed out is not reused, and the next request opens a new one', async () => {
	const usedSockets = new Set<Socket>()
	const respondOnce: Responder = (socket, text) => {
		if (!usedSockets.has(socket))
			setTimeout(() => {
				echoBody(socket, text)
			}, 100)
		usedSockets.add(socket)
	}
	const fixture = await createFixture([respondOnce], { runMilliseconds: 300 })
	const concurrent = await Promise.all([fixture.post(), fixture.post()])
	expect(concurrent.map(({ status }) => status)).toEqual([200, 200])
	const timedOut = await fixture.post()
	expect([timedOut.status, timedOut.verdict]).toEqual([504, 'may-have-run'])
	const next = await fixture.post()
	expect([next.status, next.text]).toEqual([200, 'hello'])
	expect(usedSockets.size).toBe(3)
	await fixture.expectAllReleased()
})

test('a duplicated response never reaches the caller of another request', async () => {
	const respondTwice: Responder = (socket, text) => {
		const id = /mastichead-request-id: (\S+)/i.exec(text)?.[1] ?? ''
		const response = createHttpResponse(id, `Mastichead-Request-Id: ${id}\r\n`)
		socket.write(response)
		socket.write(response)
	}
	const fixture = await createFixture([respondTwice])
	for (let round = 0; round < 20; round++) {
		const results = await Promise.all(Array.from({ length: 4 }, () => fixture.post()))
		for (const { status, headers, text } of results) {
			if (status === 200) expect(text).toBe(headers['mastichead-request-id'])
		}
	}
	await fixture.expectAllReleased()
})

test('a large response is read from the backend server only as fast as its caller reads it', async () => {
	const size = 100 * 1024 * 1024
	const part = Buffer.alloc(256 * 1024, 120)
	let written = 0
	const sendLarge: Responder = (socket) => {
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
	const fixture = await createFixture([sendLarge], { runMilliseconds: 20_000 })
	const { body } = await request(`${fixture.url}/v1/queues/quotes/requests`, {
		method: 'POST',
		headers: { authorization: testAuthorization },
	})
	let previous = -1
	await waitFor(async () => {
		const hasStalled = written === previous
		previous = written
		await delay(100)
		return hasStalled
	})
	expect(written).toBeLessThan(32 * 1024 * 1024)
	let received = 0
	for await (const chunk of body) received += (chunk as Buffer).length
	expect(received).toBe(size)
	await fixture.expectAllReleased()
})
