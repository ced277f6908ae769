import { setTimeout as delay } from 'node:timers/promises'
import { createRequestsAhead, createUnfinishedBody } from '@mastichead/standins'
import { afterEach, expect, it } from 'vitest'
import { createDaemonCrowdFixture } from '../testing/createDaemonCrowdFixture.js'
import type { DaemonCrowdFixture } from '../testing/DaemonCrowdFixture.js'

/** Bound of the process, in megabytes; its heap is limited to 96. */
const MEMORY = 250
/** Limit of the connections of one listener, and bound of the descriptors of the process. */
const CONNECTIONS = 400
const DESCRIPTORS = 700
const SETTLING_TIME_MILLISECONDS = 2_000
const TOKEN_NOBODY_HAS = 'token-nobody-has'

let fixture: DaemonCrowdFixture | undefined

afterEach(async () => {
	await fixture?.close()
	fixture = undefined
}, 60_000)

type Port = Parameters<DaemonCrowdFixture['createCrowd']>[0]

/** Starts of requests with a body that the ports take, by the port. */
const bodyStarts: Readonly<Record<Port, string>> = {
	callers: 'POST /v1/queues/quotes/requests HTTP/1.1\r\n',
	operators: 'PUT /v1/fleet HTTP/1.1\r\n',
	peers: 'POST /mastichead.Peer/Exchange HTTP/1.1\r\n',
}

/** Requests that the ports answer, by the port. */
const requests: Readonly<Record<Port, string>> = {
	callers: 'POST /v1/request-ids HTTP/1.1\r\nHost: a\r\n\r\n',
	operators: 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n',
	peers: 'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
}

function createHead(port: Port, key: string): Buffer {
	const headers = `Host: a\r\nAuthorization: Bearer ${key}\r\nTransfer-Encoding: chunked\r\n\r\n`
	return Buffer.from(`${bodyStarts[port]}${headers}`)
}

/** What the clients of a crowd send, by the port, a key or token that exists, and their number. */
const shapes = [
	{
		shape: 'bodies in chunks of one byte without an end',
		clients: 200,
		getPieces: (port: Port, key: string) => [
			createHead(port, key),
			...createUnfinishedBody(1, 64_000),
		],
	},
	{
		shape: 'bodies in large chunks without an end',
		clients: 300,
		getPieces: (port: Port, key: string) => [
			createHead(port, key),
			...createUnfinishedBody(16_000, 4),
		],
	},
	{
		shape: 'bodies of an unknown key without an end',
		clients: 200,
		getPieces: (port: Port, _: string, client: number) => [
			createHead(port, TOKEN_NOBODY_HAS),
			...(client % 2 === 0 ? createUnfinishedBody(1, 64_000) : createUnfinishedBody(60_000, 40)),
		],
	},
	{
		shape: 'requests ahead whose answers stay unread',
		clients: 200,
		getPieces: (port: Port) => createRequestsAhead(requests[port], 8_000),
	},
	{
		shape: 'requests ahead without a host',
		clients: 400,
		getPieces: (port: Port) =>
			createRequestsAhead(
				port === 'callers'
					? 'GET /healthz HTTP/1.1\r\n\r\n'
					: requests[port].replace('Host: a\r\n', ''),
				20_000
			),
	},
	{
		shape: 'connections beyond the descriptors, part of which leave early',
		clients: 1_500,
		getPieces: (port: Port, _: string, client: number) =>
			client % 3 === 1 ? [Buffer.from(bodyStarts[port])] : [],
	},
]

const ports = [
	{ port: 'callers', isTls: false },
	{ port: 'operators', isTls: false },
	{ port: 'peers', isTls: false },
	{ port: 'callers', isTls: true },
	{ port: 'operators', isTls: true },
] as const

function getName(row: { readonly port: Port; readonly isTls: boolean; readonly shape: string }) {
	return `a daemon bears on its port for ${row.port}${row.isTls ? ' (TLS)' : ''} ${row.shape}`
}

const cases = ports.flatMap((port) => shapes.map((shape) => ({ ...port, ...shape })))

// Guards against clients that end a daemon or take it from others.
it.each(cases.map((row) => [getName(row), row] as const))('%s', async (_, row) => {
	const { port, isTls, clients, getPieces } = row
	const limits = { connections: CONNECTIONS }
	fixture = await createDaemonCrowdFixture({ basePort: 17_700, isTls, limits })
	const { probe, credentials, createCrowd, postQuote, readMetrics } = fixture
	expect(await postQuote()).toBe(200)
	const crowd = createCrowd(port)
	await crowd.send({
		clients,
		getPieces: (client) => getPieces(port, credentials[port], client),
		leaves: (client) => client % 8 === 0,
	})
	await delay(SETTLING_TIME_MILLISECONDS)
	expect(probe.isAlive()).toBe(true)
	expect(probe.countDescriptors()).toBeLessThan(DESCRIPTORS)
	crowd.leave()
	expect(await postQuote()).toBe(200)
	expect(await readMetrics()).toBe(200)
	expect(probe.isAlive()).toBe(true)
	expect(probe.getPeakMemory()).toBeLessThan(MEMORY)
})

// Guards against clients for whom a daemon does nothing else any more.
it.each(['callers', 'operators'] as const)(
	'the daemon answers others beside clients that press its port for %s with chunks of one byte',
	async (port) => {
		const limits = { connections: CONNECTIONS }
		fixture = await createDaemonCrowdFixture({ basePort: 17_700, isTls: false, limits })
		const { probe, createCrowd, postQuote, readMetrics } = fixture
		expect(await postQuote()).toBe(200)
		const crowd = createCrowd(port)
		const body = createUnfinishedBody(1, 250_000)
		const head = createHead(port, TOKEN_NOBODY_HAS)
		crowd.press({ clients: 300, getPieces: () => [head, ...body] })
		await delay(SETTLING_TIME_MILLISECONDS)
		expect(await postQuote()).toBe(200)
		expect(await readMetrics()).toBe(200)
		expect(probe.countDescriptors()).toBeLessThan(DESCRIPTORS)
		crowd.leave()
		expect(await postQuote()).toBe(200)
		expect(probe.isAlive()).toBe(true)
		expect(probe.getPeakMemory()).toBeLessThan(MEMORY)
	}
)
