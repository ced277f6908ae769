import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { afterAll, beforeAll, expect, test } from 'vitest'
import type { BackendFault } from '../backend/BackendFault.js'
import type { BackendStatistics } from '../backend/BackendStatistics.js'
import { Deployment } from '../processes/Deployment.js'
import { runCommand } from '../processes/runCommand.js'
import { createFleetText } from '../processes/createFleetText.js'
import { QuoteCaller } from './QuoteCaller.js'

const BASE_PORT = 18_200
const SERVERS = ['server-0', 'server-1', 'server-2', 'server-3', 'server-4', 'server-5']

const directory = mkdtempSync(join(tmpdir(), 'mastichead-verdicts-'))
let deployment: Deployment
let key = ''

beforeAll(async () => {
	const fleetFile = join(directory, 'fleet.yaml')
	const text = createFleetText({ firstPort: BASE_PORT + 1, servers: SERVERS.length })
	writeFileSync(fleetFile, text)
	deployment = new Deployment({ fleetFile, basePort: BASE_PORT, daemons: 4, runMilliseconds: 10 })
	await deployment.start()
	const applied = await runCommand(deployment, ['apply', fleetFile])
	expect(applied.code, applied.output).toBe(0)
	const issued = await runCommand(deployment, ['keys', 'issue', 'desk'])
	key = /mh_[0-9a-f]{16}_[A-Za-z0-9_-]+/.exec(issued.output)?.[0] ?? ''
	expect(key, issued.output).not.toBe('')
	for (const name of SERVERS) await putInstance(name, 'live')
	await waitForService()
}, 60_000)

afterAll(async () => {
	await deployment.stop()
	rmSync(directory, { recursive: true })
}, 60_000)

async function putInstance(name: string, state: 'live' | 'leaving'): Promise<void> {
	const row = { name, kind: 'backend', address: '', availabilityZone: 'zone-1', state }
	const url = `${deployment.platformUrl}/instances/${name}`
	await (await request(url, { method: 'PUT', body: JSON.stringify(row) })).body.dump()
}

async function callControl(server: string, fault?: BackendFault): Promise<BackendStatistics> {
	const url = deployment.getControlUrl(server)
	const change = fault ? { method: 'PUT' as const, body: JSON.stringify({ fault }) } : {}
	return (await (await request(url, change)).body.json()) as BackendStatistics
}

async function getRuns(servers: readonly string[]): Promise<Map<string, number>> {
	const runs = new Map<string, number>()
	for (const server of servers) {
		const { runsByRequest } = await callControl(server)
		for (const [id, count] of Object.entries(runsByRequest)) {
			runs.set(id, (runs.get(id) ?? 0) + count)
		}
	}
	return runs
}

/** Waits until every entry instance has the fleet, the key and an allowance. */
async function waitForService(): Promise<void> {
	const caller = new QuoteCaller(key)
	const end = Date.now() + 20_000
	for (const url of deployment.callerUrls) {
		while ((await caller.post(url, 'ready')).status !== 200) {
			if (Date.now() > end) throw new Error(JSON.stringify(caller.submissions.at(-1)))
			await delay(50)
		}
	}
	await caller.close()
}

/** Sends `count` quotes, `concurrency` of them at a time. */
async function sendConcurrently(
	count: number,
	concurrency: number,
	send: (index: number) => Promise<unknown>
): Promise<void> {
	let next = 0
	const sendNext = async () => {
		while (next < count) await send(next++)
	}
	await Promise.all(Array.from({ length: concurrency }, sendNext))
}

function expectCorrectVerdicts(caller: QuoteCaller, runs: ReadonlyMap<string, number>): void {
	for (const { type, id, verdict, status, text } of caller.submissions) {
		if (type !== 'answered') continue
		const count = runs.get(id) ?? 0
		const seen = `${status} ${verdict} ${text.slice(0, 200)}: ${count} runs`
		if (verdict === 'not-run') expect(count, seen).toBe(0)
		else if (verdict === 'ran') expect(count, seen).toBe(1)
		else expect(verdict, seen).toBe('may-have-run')
	}
	for (const [id, count] of runs) expect(count, id).toBe(1)
}

/** Refusals as `not-run` do not count as cut, but 99 % of `count` requests must be served. */
function expectNoneCut(caller: QuoteCaller, count: number): void {
	const { submissions } = caller
	const cut = submissions.filter(
		({ type, verdict }) => type === 'cut' || verdict === 'may-have-run'
	)
	expect(cut.slice(0, 3)).toEqual([])
	const served = submissions.filter(({ status }) => status === 200)
	expect(served.length).toBeGreaterThanOrEqual(0.99 * count)
	console.info(
		`${count} requests, ${served.length} served, ${submissions.length} submissions, 0 cut`
	)
}

test('faulty backend servers: verdicts are correct, answers are complete and belong to their requests', async () => {
	const faults: BackendFault[] = ['reset', 'truncated', 'malformed', 'frozen', 'failing']
	const before = await getRuns(SERVERS)
	const caller = new QuoteCaller(key)
	for (const [index, fault] of faults.entries()) await callControl(`server-${index}`, fault)
	await sendConcurrently(600, 40, (index) => {
		const url = deployment.callerUrls[index % 4] ?? ''
		return caller.post(url, `quote ${index};`.padEnd(200 + index, 'x'))
	})
	for (const name of SERVERS) await callControl(name, 'none')
	const runs = await getRuns(SERVERS)
	for (const id of before.keys()) runs.delete(id)
	expectCorrectVerdicts(caller, runs)
	const served = caller.submissions.filter(({ status }) => status === 200)
	expect(served.length).toBeGreaterThan(100)
	const bodies = served.map(({ text }) => (JSON.parse(text) as { body: string }).body)
	expect(new Set(bodies).size).toBe(bodies.length)
	expect(bodies.every((body) => /^quote \d+;x+$/.test(body))).toBe(true)
	expect(caller.submissions.some(({ verdict }) => verdict === 'may-have-run')).toBe(true)
	await caller.close()
	await waitForService()
})

/**
 * Checks that every entry instance reports the request as run. The issuer of the id learns of the
 * end after the caller does, so that repeats may find the id still busy for a while.
 */
async function expectSettled(caller: QuoteCaller, id: string): Promise<void> {
	const end = Date.now() + 5000
	for (let settled = 0; settled < deployment.callerUrls.length;) {
		const repeats = await Promise.all(
			deployment.callerUrls.map((url) => caller.post(url, 'quote', id))
		)
		for (const { status } of repeats) expect(status).toBe(409)
		settled = repeats.filter(({ verdict }) => verdict === 'ran').length
		expect(Date.now()).toBeLessThan(end)
	}
}

test('repeats of a request id through all entry instances at once run once', async () => {
	const caller = new QuoteCaller(key)
	const before = await getRuns(SERVERS)
	for (let round = 0; round < 20; round++) {
		const urls = deployment.callerUrls
		const id = await caller.issueId(urls[round % 4] ?? '')
		const submissions = await Promise.all(
			[...urls, ...urls].map((url, index) => caller.post(url, `quote ${index}`, id))
		)
		expect(submissions.filter(({ status }) => status === 200)).toHaveLength(1)
		await expectSettled(caller, id)
	}
	const runs = await getRuns(SERVERS)
	for (const id of before.keys()) runs.delete(id)
	expect(runs.size).toBe(20)
	expectCorrectVerdicts(caller, runs)
	await caller.close()
})

test('a killed entry instance: no repeat of its requests runs again', async () => {
	const caller = new QuoteCaller(key)
	const before = await getRuns(SERVERS)
	const [first = '', second = ''] = deployment.callerUrls
	const killedInstance = deployment.instances[0]?.name ?? ''
	const ids = await Promise.all(Array.from({ length: 60 }, () => caller.issueId(first)))
	const sent = ids.slice(0, 40).map((id) => caller.post(first, 'quote', id))
	await delay(15)
	deployment.processes.signal(killedInstance, 'SIGKILL')
	await Promise.all(sent)
	const repeats = await Promise.all(ids.map((id) => caller.post(second, 'quote', id)))
	expect(
		repeats.every(({ type, verdict }) => type === 'answered' && verdict === 'may-have-run')
	).toBe(true)
	await delay(200)
	const runs = await getRuns(SERVERS)
	for (const id of before.keys()) runs.delete(id)
	expectCorrectVerdicts(caller, runs)
	await deployment.processes.stop(killedInstance)
	await deployment.startDaemon(killedInstance)
	await caller.close()
	await waitForService()
})

test('a killed backend server: what was under way may have run, the rest goes elsewhere', async () => {
	const caller = new QuoteCaller(key)
	const before = await getRuns(SERVERS)
	const remainingServers = SERVERS.slice(1)
	const sending = sendConcurrently(1000, 12, (index) =>
		caller.post(deployment.callerUrls[index % 4] ?? '', `quote ${index}`)
	)
	await delay(200)
	deployment.processes.signal('server-0', 'SIGKILL')
	await sending
	const runs = await getRuns(remainingServers)
	for (const id of before.keys()) runs.delete(id)
	for (const [id, count] of runs) expect(count, id).toBe(1)
	for (const { id, verdict, type } of caller.submissions) {
		expect(type).toBe('answered')
		if (verdict === 'not-run') expect(runs.has(id)).toBe(false)
	}
	const ran = caller.submissions.filter(({ verdict }) => verdict === 'ran').length
	expect(ran).toBeGreaterThan(900)
	await deployment.processes.stop('server-0')
	await deployment.startBackendServer('server-0')
	await caller.close()
	await waitForService()
})

test('a leaving backend server gets no new request after 3 s, and is stopped with no request cut', async () => {
	const caller = new QuoteCaller(key)
	const leavingServer = 'server-1'
	let leftAt = 0
	let isStopped = false
	const leave = async () => {
		await delay(500)
		leftAt = Date.now()
		await putInstance(leavingServer, 'leaving')
		await delay(3000)
		const { running, lastStartedAt } = await callControl(leavingServer)
		expect(lastStartedAt).toBeLessThanOrEqual(leftAt + 3000)
		expect(running).toBe(0)
		await deployment.processes.stop(leavingServer)
		isStopped = true
	}
	const sending = sendConcurrently(10_000, 12, (index) =>
		caller.post(deployment.callerUrls[index % 4] ?? '', `quote ${index}`)
	)
	await Promise.all([leave(), sending])
	expect(isStopped).toBe(true)
	expectNoneCut(caller, 10_000)
	await deployment.startBackendServer(leavingServer)
	await putInstance(leavingServer, 'live')
	await caller.close()
})

test('a drained backend server gets no new request after 3 s', async () => {
	const caller = new QuoteCaller(key)
	const drain = async () => {
		const drained = await runCommand(deployment, ['drain', 'server-2'])
		expect(drained.code, drained.output).toBe(0)
		const drainedAt = Date.now()
		await delay(4000)
		const { lastStartedAt } = await callControl('server-2')
		expect(lastStartedAt).toBeLessThanOrEqual(drainedAt + 3000)
	}
	let isDone = false
	const sending = sendConcurrently(100_000, 16, async (index) => {
		if (!isDone) await caller.post(deployment.callerUrls[index % 4] ?? '', `quote ${index}`)
	})
	await drain()
	isDone = true
	await sending
	expectNoneCut(caller, caller.submissions.length)
	await caller.close()
})

test('an entry instance that shuts down under load cuts none of 10,000 requests', async () => {
	const caller = new QuoteCaller(key)
	const leavingInstance = deployment.instances[1]?.name ?? ''
	let code: number | null = -1
	const leave = async () => {
		await delay(700)
		code = await deployment.processes.stop(leavingInstance)
	}
	const sending = sendConcurrently(10_000, 12, (index) =>
		caller.postAnywhere(deployment.callerUrls, index % 4, `quote ${index}`)
	)
	await Promise.all([leave(), sending])
	expect(code).toBe(0)
	expectNoneCut(caller, 10_000)
	await deployment.startDaemon(leavingInstance)
	await caller.close()
})
