import { createFleetText, Deployment, runCommand } from '@mastichead/standins'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { setTimeout as delay } from 'node:timers/promises'
import { LoadGenerator } from './path/LoadGenerator.js'

const BASE_PORT = 18_700
const FORWARDER_PORT = BASE_PORT + 90
const SERVER_COUNT = 6

/** Requests in flight at full load: half of the slots. */
const CONCURRENCY = 24

/** Duration of each measured load run, and of each run in the discarded warm-up round. */
const PHASE_MILLISECONDS = 3000
const WARM_UP_MILLISECONDS = 1500

/** Measured rounds. Each measures both paths, one after the other. */
const ROUND_COUNT = 3

const READY_TIMEOUT_MILLISECONDS = 20_000

const forwarderScript = fileURLToPath(new URL('./path/forwarder.js', import.meta.url))

/**
 * Row of the table: rates in requests per second, latencies in milliseconds.
 *
 * @internal
 */
interface Row {
	readonly round: number
	readonly path: 'daemon' | 'forwarder'
	readonly throughput: number
	readonly p50AtFullLoad: number
	readonly p99AtFullLoad: number
	/** Rate at half load, the same for both paths. */
	readonly halfLoad: number
	readonly p50AtHalfLoad: number
	readonly p99AtHalfLoad: number
	readonly failed: number
}

/**
 * Compares one daemon with a minimal forwarder built on `http` and `undici`. Each runs in its own
 * process in front of the same backend servers. Takes about a minute.
 *
 * @public
 */
export async function pathBench(): Promise<Row[]> {
	const directory = mkdtempSync(join(tmpdir(), 'mastichead-path-'))
	const fleetFile = join(directory, 'fleet.yaml')
	writeFileSync(fleetFile, createFleetText({ firstPort: BASE_PORT + 1, servers: SERVER_COUNT }))
	const deployment = new Deployment({
		fleetFile,
		basePort: BASE_PORT,
		daemons: 1,
		runMilliseconds: 1,
	})
	try {
		await deployment.start()
		const addresses = deployment.fleet.backendServers.map((server) => server.address)
		const args = [forwarderScript, String(FORWARDER_PORT), ...addresses]
		await deployment.processes.start('forwarder', args, 'event=forwarder_started')
		const key = await createKey(deployment, fleetFile)
		return await measureRounds(deployment.callerUrls[0] ?? '', key)
	} finally {
		await deployment.stop()
		rmSync(directory, { recursive: true })
	}
}

async function createKey(deployment: Deployment, fleetFile: string): Promise<string> {
	const applied = await runCommand(deployment, ['apply', fleetFile])
	if (applied.code !== 0) throw new Error(applied.output)
	const issued = await runCommand(deployment, ['keys', 'issue', 'desk'])
	const key = /mh_[0-9a-f]{16}_[A-Za-z0-9_-]+/.exec(issued.output)?.[0]
	if (key === undefined) throw new Error(issued.output)
	return key
}

async function measureRounds(url: string, key: string): Promise<Row[]> {
	const path = '/v1/queues/quotes/requests'
	const generators = {
		daemon: new LoadGenerator(url, { path, key }, CONCURRENCY * 4),
		forwarder: new LoadGenerator(
			`http://127.0.0.1:${FORWARDER_PORT}`,
			{ path: '/', key },
			CONCURRENCY * 4
		),
	}
	await waitUntilServing(generators.daemon)
	const rows: Row[] = []
	for (let round = 0; round <= ROUND_COUNT; round++) {
		const duration = round === 0 ? WARM_UP_MILLISECONDS : PHASE_MILLISECONDS
		const daemon = await generators.daemon.runClosedLoop(CONCURRENCY, duration)
		const forwarder = await generators.forwarder.runClosedLoop(CONCURRENCY, duration)
		if (round === 0) continue
		const halfLoad = Math.min(daemon.throughput, forwarder.throughput) / 2
		for (const name of ['daemon', 'forwarder'] as const) {
			const full = name === 'daemon' ? daemon : forwarder
			const half = await generators[name].runOpenLoop(halfLoad, duration)
			rows.push({
				round,
				path: name,
				throughput: Math.round(full.throughput),
				p50AtFullLoad: roundToTenth(full.p50),
				p99AtFullLoad: roundToTenth(full.p99),
				halfLoad: Math.round(halfLoad),
				p50AtHalfLoad: roundToTenth(half.p50),
				p99AtHalfLoad: roundToTenth(half.p99),
				failed: full.failed + half.failed,
			})
		}
	}
	await Promise.all([generators.daemon.close(), generators.forwarder.close()])
	return rows
}

/** Waits until the daemon has the fleet, the key and an allowance. */
async function waitUntilServing(generator: LoadGenerator): Promise<void> {
	const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS
	while ((await generator.runClosedLoop(1, 1)).failed > 0) {
		if (performance.now() > deadline)
			throw new Error('the daemon did not serve a request before the timeout')
		await delay(50)
	}
}

function roundToTenth(value: number): number {
	return Math.round(value * 10) / 10
}
