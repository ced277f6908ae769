import { credentials, ServerCredentials } from '@grpc/grpc-js'
import {
	createFleetState,
	SystemTimerService,
	type FleetState,
	type InstanceId,
} from '@mastichead/core'
import type { Digest, TeamLoad } from '@mastichead/protocol'
import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import { afterEach, expect, test } from 'vitest'
import { createLogger } from '../logs/createLogger.js'
import { DigestSource } from './DigestSource.js'
import { PeerHandler } from './PeerHandler.js'
import { PeerManager } from './PeerManager.js'

const timers = new SystemTimerService()
const cleanups: (() => void)[] = []

afterEach(() => {
	for (const close of cleanups.splice(0)) close()
})

class TestSource extends DigestSource {
	teams: TeamLoad[] = [
		{
			team: 'quotes',
			running: 2,
			queued: 1,
			lendable: 3,
			usable: 5,
			pools: [{ pool: 'p', running: 2, queued: 1 }],
		},
	]

	constructor(private readonly instance: InstanceId) {
		super()
	}

	override getTeamLoads() {
		return this.teams
	}

	override getServerLoads() {
		return [{ server: 's1', running: 4, connections: 4, ejected: false }]
	}

	override getDrainedServers() {
		return ['s2']
	}

	override getKeyReport() {
		return { instance: this.instance, withdrawnKeys: ['key-1'], age: 5, offset: -1 }
	}

	override isLeaving() {
		return false
	}
}

class TestHandler extends PeerHandler {
	returnCount = 0

	constructor(private readonly getManager: () => PeerManager) {
		super()
	}

	override exchange(digest: Digest) {
		return this.getManager().answerExchange(digest)
	}

	override lend({ loans }: { loans: { amount: number }[] }) {
		const terms = { leaseMilliseconds: 20_000, runMilliseconds: 1000 }
		return { loans: loans.map(({ amount }) => ({ amount: Math.min(2, amount), ...terms })) }
	}

	override acceptReturns() {
		this.returnCount++
	}

	override readLog({ from }: { from: number }) {
		return { entries: [{ offset: from, at: 1.5, record: '{}' }], snapshot: undefined }
	}

	override claim() {
		return 'first'
	}

	override settle() {
		return
	}

	override reportSlots({ pool }: { pool: string }) {
		return { owner: 'owner', pool, grants: [] }
	}

	override acceptGrants() {
		return
	}
}

async function createPeer(instance: InstanceId) {
	const state = createFleetState()
	const source = new TestSource(instance)
	const digests: Digest[] = []
	const withdrawn: string[] = []
	const handler: TestHandler = new TestHandler(() => manager)
	const manager = new PeerManager({
		timers,
		logger: createLogger({ level: 'error' }),
		instance,
		host: '127.0.0.1',
		port: 0,
		connectionLimit: 100,
		address: instance,
		seeds: [],
		serverCredentials: ServerCredentials.createInsecure(),
		channelCredentials: credentials.createInsecure(),
		getState: () => state,
		source,
		handler,
		onKeyReport: ({ withdrawnKeys }) => {
			withdrawn.push(...withdrawnKeys)
		},
		onDigest: (digest) => {
			digests.push(digest)
		},
	})
	const port = await manager.start()
	cleanups.push(() => {
		manager.stop()
	})
	return { instance, manager, state, source, handler, digests, withdrawn, port }
}

function addMember(state: FleetState, instance: InstanceId, port: number) {
	state.members.set(instance, {
		instance,
		availabilityZone: 'a',
		peerAddress: `127.0.0.1:${port}`,
		joinedOffset: 1,
		renewedAt: 0,
		lapsed: false,
		sequence: 0,
		allowances: new Map(),
	})
}

async function createPair() {
	const [a, b] = [await createPeer('a.1'), await createPeer('b.1')]
	addMember(a.state, b.instance, b.port)
	addMember(b.state, a.instance, a.port)
	a.manager.exchangeWithAllPeers()
	await expect.poll(() => b.digests.length, { timeout: 3000 }).toBeGreaterThan(0)
	return { a, b }
}

test('sends a load once and again after a change, and withdrawn keys in every digest', async () => {
	const { a, b } = await createPair()
	expect(b.digests[0]?.teams).toEqual(a.source.teams)
	await expect.poll(() => b.digests.at(-1)?.teams, { timeout: 3000 }).toEqual([])
	expect(b.withdrawn).toContain('key-1')
	expect(b.manager.getPeerLoad('p').get('quotes')).toEqual({
		team: 'quotes',
		running: 2,
		queued: 1,
	})
	expect(b.manager.getPeerRunningCount('s1')).toBe(4)
	a.source.teams = a.source.teams.map((load) => ({ ...load, running: 9 }))
	await expect.poll(() => b.digests.at(-1)?.teams[0]?.running, { timeout: 3000 }).toBe(9)
})

test('carries loans, returns, claims and the log', async () => {
	const { a, b } = await createPair()
	const request = { loan: 'a.1/0', lender: 'b.1', borrower: 'a.1', team: 'quotes', amount: 5 }
	const replies = await a.manager.calls.borrow('b.1', [request])
	expect(replies).toEqual([{ amount: 2, leaseMilliseconds: 20_000, runMilliseconds: 1000 }])
	expect(await a.manager.calls.returnLoans('b.1', [{ ...request, remaining: 0 }])).toBe(true)
	expect(b.handler.returnCount).toBe(1)
	expect(await a.manager.calls.claim('b.1', 'id', 'a')).toBe('first')
	expect(await a.manager.calls.claim('c.1', 'id', 'a')).toBeUndefined()
	const [log] = a.manager.getPeerLogs()
	const page = await log?.readLog(7)
	expect(page).toEqual({ type: 'records', records: [{ offset: 7, at: 1.5, record: '{}' }] })
})

/** Forwards connections. Connections open when `silence` is called carry no more data. */
async function createRelay(port: number) {
	const silent = new Set<Socket>()
	const sockets = new Set<Socket>()
	const server = createServer((socket) => {
		const target = connect(port, '127.0.0.1')
		for (const [from, to] of [
			[socket, target],
			[target, socket],
		] as const) {
			sockets.add(from)
			from.on('data', (data) => {
				if (!silent.has(from)) to.write(data)
			})
			from.on('error', () => to.destroy())
			from.on('close', () => to.destroy())
		}
	})
	await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
	cleanups.push(() => {
		for (const socket of sockets) socket.destroy()
		server.close()
	})
	const silence = () => {
		for (const socket of sockets) silent.add(socket)
	}
	return { port: (server.address() as AddressInfo).port, silence }
}

test('replaces a channel whose connection has gone silent', async () => {
	const [a, b] = [await createPeer('a.1'), await createPeer('b.1')]
	const relay = await createRelay(b.port)
	addMember(a.state, b.instance, relay.port)
	addMember(b.state, a.instance, a.port)
	a.manager.exchangeWithAllPeers()
	await expect.poll(() => a.manager.calls.claim('b.1', 'id', 'a'), { timeout: 3000 }).toBe('first')
	relay.silence()
	expect(await a.manager.calls.claim('b.1', 'id', 'a')).toBeUndefined()
	await expect.poll(() => a.manager.calls.claim('b.1', 'id', 'a'), { timeout: 3000 }).toBe('first')
})
