import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { afterAll, assert, beforeAll, expect, test } from 'vitest'
import type { BackendRun } from '../backend/BackendRun.js'
import type { BackendStatistics } from '../backend/BackendStatistics.js'
import { createFleetText } from '../processes/createFleetText.js'
import { Deployment } from '../processes/Deployment.js'
import { runCommand } from '../processes/runCommand.js'
import { QuoteCaller } from './QuoteCaller.js'

const BASE_PORT = 15_100
const SERVERS = 6
const LIMIT = 10
const RUN_MILLISECONDS = 100
const CONCURRENT_REQUESTS_PER_DAEMON = 10
const WAIT_TIMEOUT_MILLISECONDS = 60_000
const POLL_MILLISECONDS = 20
const OUTAGE_MILLISECONDS = 3000
const SHORT_FREEZE_MILLISECONDS = 5000

/** Longer than the 20 s for which an allowance is lent. */
const LONG_FREEZE_MILLISECONDS = 23_000

const directory = mkdtempSync(join(tmpdir(), 'mastichead-limits-'))
let deployment: Deployment
let caller: QuoteCaller

beforeAll(async () => {
	const fleetFile = join(directory, 'fleet.yaml')
	const text = createFleetText({ firstPort: BASE_PORT + 1, servers: SERVERS, limit: LIMIT })
	writeFileSync(fleetFile, text)
	const runMilliseconds = RUN_MILLISECONDS
	deployment = new Deployment({ fleetFile, basePort: BASE_PORT, daemons: 4, runMilliseconds })
	await deployment.start()
	const applied = await runCommand(deployment, ['apply', fleetFile])
	expect(applied.code, applied.output).toBe(0)
	const issued = await runCommand(deployment, ['keys', 'issue', 'desk'])
	caller = new QuoteCaller(/mh_[0-9a-f]{16}_[A-Za-z0-9_-]+/.exec(issued.output)?.[0] ?? '')
	for (const url of deployment.callerUrls) {
		await waitFor(async () => (await caller.post(url, 'ready')).status === 200)
	}
}, 60_000)

afterAll(async () => {
	await caller.close()
	expect(await deployment.stop()).toEqual([])
	rmSync(directory, { recursive: true })
}, 60_000)

async function waitFor(isDone: () => boolean | Promise<boolean>): Promise<void> {
	const end = Date.now() + WAIT_TIMEOUT_MILLISECONDS
	while (!(await isDone())) {
		expect(Date.now(), JSON.stringify(caller.submissions.at(-1))).toBeLessThan(end)
		await delay(POLL_MILLISECONDS)
	}
}

function countServed(url = ''): number {
	return caller.submissions.filter((row) => row.status === 200 && row.url.startsWith(url)).length
}

async function waitForServed(count: number, url = ''): Promise<void> {
	const target = countServed(url) + count
	await waitFor(() => countServed(url) >= target)
}

async function setOutage(outage: boolean): Promise<void> {
	const url = `${deployment.platformUrl}/faults`
	await (await request(url, { method: 'PUT', body: JSON.stringify({ outage }) })).body.dump()
}

/**
 * Keeps as many requests in flight at each daemon as the whole fleet may run, while `action` runs.
 *
 * @param isLoaded - whether a daemon gets load now; all do by default
 */
async function runUnderLoad(
	action: () => Promise<void>,
	isLoaded: (url: string) => boolean = () => true
): Promise<void> {
	let isDone = false
	const postRepeatedly = async (url: string) => {
		while (!isDone) {
			const { status } = isLoaded(url) ? await caller.post(url, 'quote') : { status: 0 }
			if (status !== 200) await delay(POLL_MILLISECONDS)
		}
	}
	const urls = deployment.callerUrls.flatMap((url) =>
		Array<string>(CONCURRENT_REQUESTS_PER_DAEMON).fill(url)
	)
	const allPosting = Promise.all(urls.map(postRepeatedly))
	try {
		await action()
	} finally {
		isDone = true
		await allPosting
	}
}

async function getRuns(): Promise<BackendRun[]> {
	const runs: BackendRun[] = []
	for (const { name } of deployment.fleet.backendServers) {
		const { body } = await request(deployment.getControlUrl(name))
		runs.push(...((await body.json()) as BackendStatistics).newestRuns)
	}
	return runs.filter(({ team }) => team === 'desk')
}

/**
 * Returns the largest number of runs at one time over all backend servers. An end counts before a
 * start at the same time.
 */
function getMaximumOverlap(runs: readonly BackendRun[]): number {
	const changes = runs.flatMap(({ startedAt, endedAt = Infinity }) => [
		{ at: startedAt, by: 1 },
		{ at: endedAt, by: -1 },
	])
	changes.sort((a, b) => a.at - b.at || a.by - b.by)
	let running = 0
	let maximumRunning = 0
	for (const { by } of changes) {
		running += by
		maximumRunning = Math.max(maximumRunning, running)
	}
	return maximumRunning
}

/**
 * Runs `action` under load and checks that the limit held; returns the largest number of requests
 * that ran at one time.
 */
async function measureOverlap(
	name: string,
	action: () => Promise<void>,
	isLoaded?: (url: string) => boolean
): Promise<number> {
	const runsBefore = (await getRuns()).length
	await runUnderLoad(action, isLoaded)
	const runs = await getRuns()
	const maximumRunning = getMaximumOverlap(runs)
	console.info(
		`${name}: ${runs.length - runsBefore} runs, at most ${maximumRunning} of ${LIMIT} at once so far`
	)
	expect(runs.length).toBeGreaterThan(runsBefore)
	expect(maximumRunning).toBeLessThanOrEqual(LIMIT)
	return maximumRunning
}

test('the overlap of runs is counted over all backend servers', () => {
	const runs = [
		{ team: 'desk', startedAt: 0, endedAt: 2 },
		{ team: 'desk', startedAt: 1, endedAt: 3 },
		{ team: 'desk', startedAt: 2 },
	]
	expect(getMaximumOverlap(runs)).toBe(2)
	expect(getMaximumOverlap([...runs, { team: 'desk', startedAt: 2.5, endedAt: 4 }])).toBe(3)
})

test('steady load: the limit holds, and most of it can be used', async () => {
	const maximumRunning = await measureOverlap('steady load', () => waitForServed(300))
	expect(maximumRunning).toBeGreaterThanOrEqual(7)
})

test('load that goes from one daemon to the next: the limit holds', async () => {
	let loaded: string | undefined
	const moveLoad = async () => {
		for (const url of [...deployment.callerUrls, ...deployment.callerUrls]) {
			loaded = url
			await waitForServed(40, url)
		}
	}
	await measureOverlap('moving load', moveLoad, (url) => url === loaded)
})

test('the platform is down for a while: the limit holds', async () => {
	await measureOverlap('platform down', async () => {
		await waitForServed(50)
		await setOutage(true)
		await delay(OUTAGE_MILLISECONDS)
		await setOutage(false)
		await waitForServed(200)
	})
})

test.each([SHORT_FREEZE_MILLISECONDS, LONG_FREEZE_MILLISECONDS])(
	'a daemon stands still for %i ms and goes on: the limit holds',
	async (freeze) => {
		const [frozen] = deployment.instances
		const url = deployment.callerUrls[0] ?? ''
		assert(frozen)
		await measureOverlap(`daemon frozen for ${freeze} ms`, async () => {
			await waitForServed(50)
			deployment.processes.signal(frozen.name, 'SIGSTOP')
			await delay(freeze)
			deployment.processes.signal(frozen.name, 'SIGCONT')
			await waitForServed(200)
			await waitForServed(10, url)
		})
	}
)

test('a daemon is killed and started again: the limit holds', async () => {
	const [, killed] = deployment.instances
	const url = deployment.callerUrls[1] ?? ''
	assert(killed)
	await measureOverlap('daemon killed', async () => {
		await waitForServed(50)
		await deployment.processes.stop(killed.name, 'SIGKILL')
		await waitForServed(100)
		await deployment.startDaemon(killed.name)
		const startedAt = performance.now()
		await waitForServed(10, url)
		const elapsedMilliseconds = performance.now() - startedAt
		console.info(`ten answers ${elapsedMilliseconds.toFixed(0)} ms after the daemon started again`)
		await waitForServed(100)
	})
})
