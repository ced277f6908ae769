import {
	createFleetPatch,
	createSampleFleet,
	getFleet,
	hashState,
	SystemTimerService,
	type Proposal,
} from '@mastichead/core'
import { PlatformServer } from '@mastichead/standins'
import { afterEach, expect, test } from 'vitest'
import { createLogger } from '../logs/createLogger.js'
import { FreezingRelay } from '../testing/FreezingRelay.js'
import { waitFor } from '../testing/waitFor.js'
import { HttpLogClient } from './HttpLogClient.js'
import { LogManager } from './LogManager.js'
import { SnapshotManager } from './SnapshotManager.js'

const timers = new SystemTimerService()
const logger = createLogger({ level: 'error' })
const cleanups: (() => Promise<void> | void)[] = []

afterEach(async () => {
	for (const close of cleanups.splice(0).reverse()) await close()
})

async function startPlatform(
	retention?: number
): Promise<{ platform: PlatformServer; port: number }> {
	const platform = new PlatformServer(retention === undefined ? {} : { retention })
	const port = await platform.start()
	cleanups.push(() => platform.stop())
	return { platform, port }
}

async function startLog(port: number, instance: string): Promise<LogManager> {
	const client = new HttpLogClient(timers, [`http://127.0.0.1:${port}`], instance)
	const log = new LogManager(timers, client, logger)
	const snapshots = new SnapshotManager(timers, log, logger, instance, 400)
	snapshots.start()
	log.start()
	cleanups.push(async () => {
		snapshots.stop()
		await log.stop()
	})
	await waitFor(() => log.isReady, { describe: () => `${instance} is ready` })
	return log
}

function createApply({ state }: LogManager, id: string, teams: number): Proposal {
	const patch = createFleetPatch(getFleet(state), createSampleFleet({ teams }))
	return { kind: 'apply', id, base: state.version, patch, operator: 'o' }
}

function waitUntilEqual(logs: readonly LogManager[], timeout: number): Promise<void> {
	return waitFor(() => new Set(logs.map(({ state }) => hashState(state))).size === 1, {
		timeout,
		describe: () => `equal states, now at ${logs.map(({ state }) => state.offset).join(' ')}`,
	})
}

test('an outage of the platform delays proposals and loses none', async () => {
	const { platform, port } = await startPlatform()
	const logs = [await startLog(port, 'entry-1'), await startLog(port, 'entry-2')]
	platform.setFaults({ outage: true })
	const outcomes = logs.map((log, index) =>
		log.propose(createApply(log, `apply-${index}`, 4 + index))
	)
	setTimeout(() => {
		platform.setFaults({ outage: false })
	}, 1500)
	const types = (await Promise.all(outcomes)).map((outcome) =>
		outcome.type === 'decided' ? outcome.decision.type : outcome.type
	)
	expect(types.sort()).toEqual(['accepted', 'rejected'])
	await waitUntilEqual(logs, 3000)
})

test('appends whose responses are lost take effect once', async () => {
	const { platform, port } = await startPlatform()
	const logs = [await startLog(port, 'entry-1'), await startLog(port, 'entry-2')]
	const [first] = logs
	platform.setFaults({ loseAppendAnswers: 3 })
	const outcome = await first?.propose(createApply(first, 'lost', 4))
	expect(outcome).toMatchObject({ type: 'decided', decision: { type: 'accepted' } })
	await waitUntilEqual(logs, 3000)
	expect(first?.state.version).toBe(1)
})

test('a proposal is decided once when the platform is slower than the append timeout', async () => {
	const { platform, port } = await startPlatform()
	const log = await startLog(port, 'entry-1')
	platform.setFaults({ appendDelayMilliseconds: 4000 })
	const outcome = await log.propose(createApply(log, 'slow', 4))
	expect(outcome).toMatchObject({ type: 'decided', decision: { type: 'accepted', offset: 0 } })
	await waitFor(() => log.state.offset >= 1, {
		timeout: 10_000,
		describe: () => 'the repeated append',
	})
	expect(log.state.version).toBe(1)
})

test('connections that go silent are replaced within 5 s', async () => {
	const { port } = await startPlatform()
	const relay = new FreezingRelay(port)
	cleanups.push(() => relay.stop())
	const log = await startLog(await relay.start(), 'entry-1')
	relay.freeze()
	const accepted = relay.acceptedCount
	const startedAt = performance.now()
	const outcome = await log.propose(createApply(log, 'silent', 4), 5000)
	expect(outcome).toMatchObject({ type: 'decided', decision: { type: 'accepted' } })
	expect(performance.now() - startedAt).toBeLessThan(5000)
	expect(relay.acceptedCount).toBeGreaterThan(accepted)
})

test('a daemon that starts after records have expired reaches the state of the others', async () => {
	const { port } = await startPlatform(40)
	const log = await startLog(port, 'entry-1')
	await log.propose(createApply(log, 'first', 4))
	const instance = 'entry-1'
	await log.propose({
		kind: 'join',
		id: 'join',
		instance,
		availabilityZone: 'zone-0',
		peerAddress: 'h:1',
	})
	let beats = 0
	await waitFor(
		async () => {
			await log.propose({ kind: 'heartbeat', id: `beat-${beats++}`, instance })
			return beats > 100
		},
		{ timeout: 30_000 }
	)
	const fresh = await startLog(port, 'entry-2')
	await waitUntilEqual([log, fresh], 3000)
	expect(fresh.state.teams.size).toBe(4)
})
