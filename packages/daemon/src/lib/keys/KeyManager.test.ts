import { createCallerKey, createSampleFleet, hashKeySecret, type Queue } from '@mastichead/core'
import { assert, expect, test } from 'vitest'
import { VirtualFleet } from '../log/testing/VirtualFleet.js'
import type { KeyManager } from './KeyManager.js'

const MINUTE_MILLISECONDS = 60_000
const [QUEUE] = createSampleFleet().queues
assert(QUEUE)

type VirtualDaemon = VirtualFleet['daemons'][number]

/** Starts daemons that have joined, with a key of team-0. */
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

function ask(keys: KeyManager, text?: string, queue: Partial<Queue> = {}): string {
	const authorization = text === undefined ? undefined : `Bearer ${text}`
	const answer = keys.authenticate(authorization, { ...QUEUE, ...queue } as Queue)
	if (answer.type === 'authenticated') return answer.team
	expect(answer.refusal.verdict).toBe('not-run')
	return answer.refusal.error
}

test('a key serves its team only, and each refusal has its tag', async () => {
	const { first, key } = await createKeyedFleet(1)
	expect(ask(first.keys, key.text)).toBe('team-0')
	expect(ask(first.keys, key.text, { teams: ['team-1'] })).toBe('team-refused')
	expect(ask(first.keys)).toBe('key-missing')
	expect(ask(first.keys, undefined, { openTeam: 'team-1' })).toBe('team-1')
	expect(ask(first.keys, 'x', { openTeam: 'team-1' })).toBe('key-malformed')
	expect(ask(first.keys, `${key.text.slice(0, -43)}${'A'.repeat(43)}`)).toBe('key-refused')
	expect(JSON.stringify([...first.log.state.keys.values()])).not.toContain(key.secret)
})

test('a key is refused once its team is removed, and after the team is back', async () => {
	const { fleet, first, key } = await createKeyedFleet(1)
	const fewer = fleet.createApply(first, 'fewer', 1)
	assert(fewer.kind === 'apply')
	const teams = { put: [], remove: ['team-0'] }
	void first.log.propose({ ...fewer, patch: { ...fewer.patch, teams } })
	await fleet.advance(100)
	expect(ask(first.keys, key.text)).toBe('key-refused')
	void first.log.propose(fleet.createApply(first, 'again', 3))
	await fleet.advance(100)
	expect(first.log.state.teams.has('team-0')).toBe(true)
	expect(ask(first.keys, key.text)).toBe('key-refused')
})

test('while the log is down a withdrawal reaches every peer, and the log once it answers', async () => {
	const { fleet, first, key } = await createKeyedFleet(4)
	const cut = getDaemon(fleet, 3)
	fleet.isolatedFromPeers.add(cut.name)
	for (const { client } of fleet.daemons) client.fault = 'down'
	await fleet.advance(3000)
	const withdrawing = first.keys.withdraw(key.id, 'operator', 1000)
	expect(ask(first.keys, key.text)).toBe('key-refused')
	await fleet.advance(1000)
	expect(await withdrawing).toMatchObject({ type: 'spreading' })
	for (const { keys } of fleet.daemons.slice(0, 3)) expect(ask(keys, key.text)).toBe('key-refused')
	expect(ask(cut.keys, key.text)).toBe('team-0')
	getDaemon(fleet, 1).client.fault = 'none'
	cut.client.fault = 'none'
	await fleet.advance(8000)
	expect(ask(cut.keys, key.text)).toBe('key-refused')
	expect(first.keys.getReport().withdrawnKeys).toEqual([])
})

test('a withdrawal whose id was used for something else is proposed under another', async () => {
	const { fleet, first, key } = await createKeyedFleet(1)
	const id = `withdraw-${key.id}`
	void first.log.propose({ kind: 'heartbeat', id, instance: first.name })
	await fleet.advance(100)
	const withdrawing = first.keys.withdraw(key.id, 'operator')
	await fleet.advance(100)
	expect(await withdrawing).toMatchObject({ type: 'logged' })
	expect(first.log.state.keys.get(key.id)?.state).toBe('withdrawn')
})

test('a daemon that no withdrawal can reach serves keys for its time only', async () => {
	const { fleet, first, key } = await createKeyedFleet(3)
	const [patient, strict] = [getDaemon(fleet, 2), fleet.addDaemon('none', 0)]
	await fleet.advance(1000)
	for (const { name, client } of [patient, strict]) {
		client.fault = 'silent'
		fleet.isolatedFromPeers.add(name)
	}
	await fleet.advance(10_000)
	expect(ask(strict.keys, key.text)).toBe('keys-isolated')
	expect(ask(strict.keys, undefined, { openTeam: 'team-1' })).toBe('team-1')
	await fleet.advance(14.5 * MINUTE_MILLISECONDS)
	expect(ask(patient.keys, key.text)).toBe('team-0')
	await fleet.advance(MINUTE_MILLISECONDS)
	expect(ask(patient.keys, key.text)).toBe('keys-isolated')
	expect(ask(first.keys, key.text)).toBe('team-0')
	patient.client.fault = 'none'
	await fleet.advance(20_000)
	expect(ask(patient.keys, key.text)).toBe('team-0')
})

test('with the log down, most members together serve on and a minority does not', async () => {
	const { fleet, first, key } = await createKeyedFleet(5)
	const others = fleet.daemons.slice(3)
	for (const { name } of others) fleet.partitions.set(name, 'other')
	for (const { client } of fleet.daemons) client.fault = 'down'
	await fleet.advance(16 * MINUTE_MILLISECONDS)
	expect(ask(first.keys, key.text)).toBe('team-0')
	for (const { keys } of others) expect(ask(keys, key.text)).toBe('keys-isolated')
})
