import { createCallerKey, createSampleFleet, hashKeySecret, type Queue } from '@mastichead/core'
import { assert, expect, test } from 'vitest'
import { VirtualFleet } from '../log/testing/VirtualFleet.js'
import type { KeyManager } from './KeyManager.js'

const MINUTE_MILLISECONDS = 60_000
const [QUEUE] = createSampleFleet().queues
assert(QUEUE)

type VirtualDaemon = VirtualFleet['daemons'][number]

/** Starts daemons that have joined, with a key issued to team-0. */
async function createKeyedFleet(count: number) {
	const fleet = new VirtualFleet(count)
	await fleet.advance(100)
	for (const { name, log } of fleet.daemons) {
		const joining = { instance: name, availabilityZone: 'zone-0', peerAddress: 'h:1' }
		void log.propose({ kind: 'join', id: `join-${name}`, ...joining })
	}
	const first = getDaemon(fleet, 0)
	void first.log.propose(fleet.createApply(first, 'first', 3))
	const key = createCallerKey()
	const issued = { key: key.id, team: 'team-0', hash: hashKeySecret(key.secret) }
	void first.log.propose({ kind: 'issue-key', id: 'issue', ...issued, operator: 'operator' })
	await fleet.advance(600)
	return { fleet, first, key }
}

function getDaemon(fleet: VirtualFleet, index: number): VirtualDaemon {
	const daemon = fleet.daemons[index]
	assert(daemon)
	return daemon
}

function authenticate(keys: KeyManager, text?: string, queue: Partial<Queue> = {}): string {
	const authorization = text === undefined ? undefined : `Bearer ${text}`
	const result = keys.authenticate(authorization, { ...QUEUE, ...queue } as Queue)
	if (result.type === 'authenticated') return result.team
	expect(result.refusal.verdict).toBe('not-run')
	return result.refusal.error
}

test('a key authenticates its team only, and each refusal has its error code', async () => {
	const { first, key } = await createKeyedFleet(1)
	expect(authenticate(first.keys, key.text)).toBe('team-0')
	expect(authenticate(first.keys, key.text, { teams: ['team-1'] })).toBe('team-refused')
	expect(authenticate(first.keys)).toBe('key-missing')
	expect(authenticate(first.keys, undefined, { openTeam: 'team-1' })).toBe('team-1')
	expect(authenticate(first.keys, 'x', { openTeam: 'team-1' })).toBe('key-malformed')
	expect(authenticate(first.keys, `${key.text.slice(0, -43)}${'A'.repeat(43)}`)).toBe('key-refused')
	expect(JSON.stringify([...first.log.state.keys.values()])).not.toContain(key.secret)
})

test('a key is refused once its team is removed, and after the team is back', async () => {
	const { fleet, first, key } = await createKeyedFleet(1)
	const fewer = fleet.createApply(first, 'fewer', 1)
	assert(fewer.kind === 'apply')
	const teams = { put: [], remove: ['team-0'] }
	void first.log.propose({ ...fewer, patch: { ...fewer.patch, teams } })
	await fleet.advance(100)
	expect(authenticate(first.keys, key.text)).toBe('key-refused')
	void first.log.propose(fleet.createApply(first, 'again', 3))
	await fleet.advance(100)
	expect(first.log.state.teams.has('team-0')).toBe(true)
	expect(authenticate(first.keys, key.text)).toBe('key-refused')
})

test('while the log is down a withdrawal reaches every peer, and later the log', async () => {
	const { fleet, first, key } = await createKeyedFleet(4)
	const isolated = getDaemon(fleet, 3)
	fleet.isolatedFromPeers.add(isolated.name)
	for (const { client } of fleet.daemons) client.fault = 'down'
	await fleet.advance(3000)
	const withdrawing = first.keys.withdraw(key.id, 'operator', 1000)
	expect(authenticate(first.keys, key.text)).toBe('key-refused')
	await fleet.advance(1000)
	expect(await withdrawing).toMatchObject({ type: 'spreading' })
	for (const { keys } of fleet.daemons.slice(0, 3))
		expect(authenticate(keys, key.text)).toBe('key-refused')
	expect(authenticate(isolated.keys, key.text)).toBe('team-0')
	getDaemon(fleet, 1).client.fault = 'none'
	isolated.client.fault = 'none'
	await fleet.advance(8000)
	expect(authenticate(isolated.keys, key.text)).toBe('key-refused')
	expect(first.keys.getReport().withdrawnKeys).toEqual([])
})

test('a withdrawal whose proposal id is already used is proposed under another id', async () => {
	const { fleet, first, key } = await createKeyedFleet(1)
	const id = `withdraw-${key.id}`
	void first.log.propose({ kind: 'heartbeat', id, instance: first.name })
	await fleet.advance(100)
	const withdrawing = first.keys.withdraw(key.id, 'operator')
	await fleet.advance(100)
	expect(await withdrawing).toMatchObject({ type: 'logged' })
	expect(first.log.state.keys.get(key.id)?.state).toBe('withdrawn')
})

test('a daemon that cannot learn of withdrawals accepts keys for a limited time only', async () => {
	const { fleet, first, key } = await createKeyedFleet(3)
	const [lenient, strict] = [getDaemon(fleet, 2), fleet.addDaemon('none', 0)]
	await fleet.advance(1000)
	for (const { name, client } of [lenient, strict]) {
		client.fault = 'silent'
		fleet.isolatedFromPeers.add(name)
	}
	await fleet.advance(10_000)
	expect(authenticate(strict.keys, key.text)).toBe('keys-isolated')
	expect(authenticate(strict.keys, undefined, { openTeam: 'team-1' })).toBe('team-1')
	await fleet.advance(14.5 * MINUTE_MILLISECONDS)
	expect(authenticate(lenient.keys, key.text)).toBe('team-0')
	await fleet.advance(MINUTE_MILLISECONDS)
	expect(authenticate(lenient.keys, key.text)).toBe('keys-isolated')
	expect(authenticate(first.keys, key.text)).toBe('team-0')
	lenient.client.fault = 'none'
	await fleet.advance(20_000)
	expect(authenticate(lenient.keys, key.text)).toBe('team-0')
})

test('while the log is down a majority of members accepts keys and a minority does not', async () => {
	const { fleet, first, key } = await createKeyedFleet(5)
	const others = fleet.daemons.slice(3)
	for (const { name } of others) fleet.partitions.set(name, 'other')
	for (const { client } of fleet.daemons) client.fault = 'down'
	await fleet.advance(16 * MINUTE_MILLISECONDS)
	expect(authenticate(first.keys, key.text)).toBe('team-0')
	for (const { keys } of others) expect(authenticate(keys, key.text)).toBe('keys-isolated')
})
