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

type Answer = (socket: Socket, request: string) => void

async function createFixture(
	answers: readonly Answer[] = [echoBody],
	options: { runMilliseconds?: number; limits?: string } = {}
) {
	const fixture = await createCallerFixture({ answers, ...options })
	fixtures.push(fixture)
	return fixture
}

function getErrorType(text: string): string {
	return (JSON.parse(text) as { error: { type: string } }).error.type
}

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
		(socket) => socket.write(createHttpResponse('hello', 'Mastichead-Request-Id: another\r\n')),
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
		else echoBody(socket, text)
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

test('a connection that went silent is not used again, and new work goes over a fresh one', async () => {
	const answered = new Set<Socket>()
	const once: Answer = (socket, text) => {
		if (!answered.has(socket))
			setTimeout(() => {
				echoBody(socket, text)
			}, 100)
		answered.add(socket)
	}
	const fixture = await createFixture([once], { runMilliseconds: 300 })
	const together = await Promise.all([fixture.post(), fixture.post()])
	expect(together.map(({ status }) => status)).toEqual([200, 200])
	const silent = await fixture.post()
	expect([silent.status, silent.verdict]).toEqual([504, 'may-have-run'])
	const next = await fixture.post()
	expect([next.status, next.text]).toEqual([200, 'hello'])
	expect(answered.size).toBe(3)
	await fixture.expectNothingHeld()
})

test('an answer that comes twice reaches its own caller only', async () => {
	const twice: Answer = (socket, text) => {
		const id = /mastichead-request-id: (\S+)/i.exec(text)?.[1] ?? ''
		const answer = createHttpResponse(id, `Mastichead-Request-Id: ${id}\r\n`)
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
		headers: { authorization: testAuthorization },
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
