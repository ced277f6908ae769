import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { parseFleet, type Fleet } from '@mastichead/core'
import { request } from 'undici'
import { afterAll, assert, beforeAll, expect, test } from 'vitest'
import type { PlatformFaults } from '../platform/PlatformFaults.js'
import { Deployment } from '../processes/Deployment.js'
import { createFleetText } from '../processes/createFleetText.js'
import { QuoteCaller } from './QuoteCaller.js'

const BASE_PORT = 19_400
const ROUNDS = 10
const PROPAGATION_LIMIT_MILLISECONDS = 5000

const directory = mkdtempSync(join(tmpdir(), 'mastichead-configuration-'))
const fleetFile = join(directory, 'fleet.yaml')
let deployment: Deployment

beforeAll(async () => {
	writeFileSync(fleetFile, createFleetText({ firstPort: BASE_PORT + 1, servers: 2 }))
	deployment = new Deployment({ fleetFile, basePort: BASE_PORT, daemons: 4 })
	await deployment.start()
}, 60_000)

afterAll(async () => {
	await deployment.stop()
	rmSync(directory, { recursive: true })
}, 60_000)

async function sendRequest(url: string, method: 'GET' | 'PUT' | 'POST' | 'DELETE', body?: unknown) {
	const answer = await request(url, {
		method,
		headers: { authorization: `Bearer ${deployment.token}`, 'content-type': 'application/json' },
		...(body === undefined ? {} : { body: JSON.stringify(body) }),
	})
	return { status: answer.statusCode, body: (await answer.body.json()) as Record<string, unknown> }
}

async function getVersion(url: string): Promise<number> {
	return Number((await sendRequest(`${url}/v1/fleet`, 'GET')).body.version)
}

function createFleet(limit: number): Fleet {
	const parsed = parseFleet(readFileSync(fleetFile, 'utf8'))
	assert(parsed.type === 'valid')
	const teams = parsed.fleet.teams.map((team) => ({ ...team, limit }))
	return { ...parsed.fleet, teams }
}

function applyLimit(url: string, base: number, limit: number) {
	return sendRequest(`${url}/v1/fleet`, 'PUT', { base, fleet: createFleet(limit) })
}

/** Polls until `isDone` holds for every URL; returns the milliseconds that this took. */
async function waitForAll(
	urls: readonly string[],
	isDone: (url: string) => Promise<boolean>
): Promise<number> {
	const start = performance.now()
	for (const url of urls) {
		while (!(await isDone(url))) {
			assert(
				performance.now() - start < PROPAGATION_LIMIT_MILLISECONDS,
				`${url} did not reach the expected state in time`
			)
			await delay(10)
		}
	}
	return performance.now() - start
}

async function setFaults(faults: Partial<PlatformFaults>): Promise<void> {
	await sendRequest(`${deployment.platformUrl}/faults`, 'PUT', faults)
}

async function issueKey(url: string): Promise<{ id: string; key: string }> {
	const { body } = await sendRequest(`${url}/v1/keys`, 'POST', { team: 'desk' })
	return { id: String(body.id), key: String(body.key) }
}

/** Whether an entry instance answers a request with this key with status 401. */
async function isRefused(url: string, key: string): Promise<boolean> {
	const caller = new QuoteCaller(key)
	const { status } = await caller.post(url, 'quote')
	await caller.close()
	return status === 401
}

test('of two operators who replace one version, one is accepted, and every daemon has it', async () => {
	const urls = deployment.operatorUrls
	const [first = '', second = ''] = urls
	let version = await getVersion(first)
	let longestMilliseconds = 0
	for (let round = 0; round < ROUNDS; round++) {
		const answers = await Promise.all([
			applyLimit(first, version, 10 + round),
			applyLimit(second, version, 100 + round),
		])
		const accepted = answers.filter(({ status }) => status === 200)
		expect(accepted).toHaveLength(1)
		const next = Number(accepted[0]?.body.version)
		expect(next).toBeGreaterThan(version)
		longestMilliseconds = Math.max(
			longestMilliseconds,
			await waitForAll(urls, async (url) => (await getVersion(url)) === next)
		)
		version = next
	}
	console.info(
		`${ROUNDS} applies in force on ${urls.length} daemons, ${longestMilliseconds.toFixed(0)} ms`
	)
})

test('a daemon that was paused or killed and restarted has the newest fleet version', async () => {
	const [first = '', second = ''] = deployment.operatorUrls
	const [, paused, killed] = deployment.instances
	assert(paused && killed)
	const base = await getVersion(first)
	deployment.processes.signal(paused.name, 'SIGSTOP')
	await deployment.processes.stop(killed.name, 'SIGKILL')
	await applyLimit(first, base, 300)
	const version = await getVersion(first)
	expect(version).toBeGreaterThan(base)
	await delay(4000)
	deployment.processes.signal(paused.name, 'SIGCONT')
	await waitForAll([second], async (url) => (await getVersion(url)) === version)
	await deployment.startDaemon(killed.name)
	expect(await getVersion(`http://127.0.0.1:${killed.operatorPort}`)).toBe(version)
})

test('a key withdrawn during a platform outage is refused everywhere, also after its daemon was killed', async () => {
	const [first = ''] = deployment.operatorUrls
	const [withdrawingUrl, ...otherUrls] = deployment.callerUrls
	const [withdrawing] = deployment.instances
	assert(withdrawingUrl !== undefined && withdrawing)
	const { id, key } = await issueKey(first)
	await waitForAll(deployment.callerUrls, async (url) => !(await isRefused(url, key)))
	await setFaults({ outage: true })
	const withdrawal = sendRequest(`${first}/v1/keys/${id}`, 'DELETE')
	const elapsedMilliseconds = await waitForAll([withdrawingUrl, ...otherUrls], (url) =>
		isRefused(url, key)
	)
	expect((await withdrawal).body).toMatchObject({ reached: 'peers' })
	await deployment.processes.stop(withdrawing.name, 'SIGKILL')
	await setFaults({ outage: false })
	const [, second = ''] = deployment.operatorUrls
	const start = performance.now()
	const isLogged = async () => {
		const { keys } = (await sendRequest(`${second}/v1/keys`, 'GET')).body as {
			keys: { id: string; state: string }[]
		}
		return keys.some((row) => row.id === id && row.state === 'withdrawn')
	}
	while (!(await isLogged())) {
		assert(
			performance.now() - start < 4 * PROPAGATION_LIMIT_MILLISECONDS,
			'the log does not show the withdrawal in time'
		)
		await delay(50)
	}
	await deployment.startDaemon(withdrawing.name)
	expect(await isRefused(withdrawingUrl, key)).toBe(true)
	console.info(
		`a withdrawal without the platform reached 4 daemons in ${elapsedMilliseconds.toFixed(0)} ms`
	)
})
