import { randomUUID } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { expect, test } from 'vitest'
import { stringify } from 'yaml'
import { Deployment } from './Deployment.js'

const BASE_PORT = 24_000
const SERVER_PORT = 24_600
const SERVERS = 6
const MINIMUM_AVAILABLE = 4
const WAVE_TIMEOUT_MILLISECONDS = 90_000
const POLL_MILLISECONDS = 100
const OUTAGE_MILLISECONDS = 3000

interface Status {
	readonly pools: readonly { pool: string; available: number; unavailable: number }[]
	readonly waves: readonly { wave: string; state: string; steps: Record<string, number> }[]
}

function createFleetFile(directory: string): string {
	const pool = { minimumAvailable: MINIMUM_AVAILABLE, maximumUnavailable: 2 }
	const backendServers = Array.from({ length: SERVERS }, (_, at) => {
		const availabilityZone = ['a', 'b'][at % 2]
		const address = `127.0.0.1:${SERVER_PORT + at}`
		const place = { availabilityZone, rack: `${availabilityZone ?? ''}1` }
		return { name: `quotes-${at}`, ...place, address, pool: 'quotes', slots: 8, connections: 64 }
	})
	const queue = { pool: 'quotes', openTeam: 'desk', urgency: 'urgent', maximumQueued: 500 }
	const bounds = { timeoutMilliseconds: 8000, runMilliseconds: 3000 }
	const fleet = {
		name: 'waves',
		availabilityZones: ['a', 'b'],
		pools: [{ name: 'quotes', spare: false, ...pool }],
		queues: [{ name: 'quotes', ...queue, ...bounds }],
		teams: [{ name: 'desk', share: 1, limit: 100 }],
		backendServers,
	}
	const file = join(directory, 'fleet.yaml')
	writeFileSync(file, stringify(fleet))
	return file
}

class Operator {
	constructor(private readonly deployment: Deployment) {}

	/** Sends a request to one daemon after the other until one accepts it. */
	async call(method: 'GET' | 'PUT' | 'POST', path: string, body?: unknown): Promise<unknown> {
		for (const url of this.deployment.operatorUrls) {
			try {
				const answer = await request(`${url}${path}`, {
					method,
					body: body === undefined ? null : JSON.stringify(body),
					headers: {
						authorization: `Bearer ${this.deployment.token}`,
						'content-type': 'application/json',
					},
					signal: AbortSignal.timeout(12_000),
				})
				const json = await answer.body.json()
				if (answer.statusCode < 300) return json
			} catch {
				continue
			}
		}
		return undefined
	}

	getStatus(): Promise<Status | undefined> {
		return this.call('GET', '/v1/status') as Promise<Status | undefined>
	}

	async setOutage(outage: boolean): Promise<void> {
		const url = `${this.deployment.platformUrl}/faults`
		await request(url, { method: 'PUT', body: JSON.stringify({ outage }) })
	}
}

/** Posts requests until it is stopped, and counts their outcomes. */
class LoadGenerator {
	readonly outcomeCounts = new Map<string, number>()
	private isStopped = false

	constructor(private readonly getUrls: () => readonly string[]) {}

	async run(): Promise<void> {
		for (let count = 0; !this.isStopped; count += 1) {
			const urls = this.getUrls()
			await this.post(urls[count % urls.length] ?? '')
		}
	}

	stop(): void {
		this.isStopped = true
	}

	private async post(url: string): Promise<void> {
		let outcome = 'broken'
		try {
			const answer = await request(`${url}/v1/queues/quotes/requests`, {
				method: 'POST',
				body: 'x',
			})
			await answer.body.dump()
			outcome = `${answer.statusCode} ${String(answer.headers['mastichead-verdict'])}`
		} catch {
			await delay(POLL_MILLISECONDS)
		}
		this.outcomeCounts.set(outcome, (this.outcomeCounts.get(outcome) ?? 0) + 1)
	}
}

/** Returns the daemon whose log has the most maintenance steps, or undefined if none has any. */
function findProposer(deployment: Deployment): string | undefined {
	const counts = deployment.instances.map(({ name }) => {
		const lines = deployment.processes.getLines(name)
		return { name, steps: lines.filter((line) => line.includes('event=maintenance-step ')).length }
	})
	return counts.sort((a, b) => b.steps - a.steps).find(({ steps }) => steps > 0)?.name
}

test('a wave ends under load although its proposer is killed and the platform is out', async () => {
	const directory = mkdtempSync(join(tmpdir(), 'mastichead-waves-'))
	const deployment = new Deployment({
		fleetFile: createFleetFile(directory),
		basePort: BASE_PORT,
		daemons: 4,
	})
	const operator = new Operator(deployment)
	const killed = new Set<string>()
	const load = new LoadGenerator(() =>
		deployment.instances
			.filter(({ name }) => !killed.has(name))
			.map(({ callerPort }) => `http://127.0.0.1:${callerPort}`)
	)
	try {
		await deployment.start()
		const applied = await operator.call('PUT', '/v1/fleet', {
			proposalId: randomUUID(),
			base: 0,
			fleet: deployment.fleet,
		})
		expect(applied).toBeDefined()
		const callers = Array.from({ length: 8 }, () => load.run())
		const backendServers = deployment.fleet.backendServers.map(({ name }) => name)
		const waveRequest = {
			proposalId: randomUUID(),
			wave: 'kernel',
			backendServers,
			parallelism: 2,
			failureLimit: 1,
		}
		expect(await operator.call('POST', '/v1/waves', waveRequest)).toBeDefined()
		let lowestAvailable = SERVERS
		const end = performance.now() + WAVE_TIMEOUT_MILLISECONDS
		let status: Status | undefined
		while (performance.now() < end) {
			await delay(POLL_MILLISECONDS)
			status = (await operator.getStatus()) ?? status
			lowestAvailable = Math.min(lowestAvailable, status?.pools[0]?.available ?? SERVERS)
			const wave = status?.waves[0]
			if (wave?.state === 'done') break
			if (killed.size > 0 || (wave?.steps.done ?? 0) < 1) continue
			const proposer = findProposer(deployment)
			if (proposer === undefined) continue
			killed.add(proposer)
			await deployment.processes.stop(proposer, 'SIGKILL')
			await operator.setOutage(true)
			await delay(OUTAGE_MILLISECONDS)
			await operator.setOutage(false)
		}
		load.stop()
		await Promise.all(callers)
		expect(status?.waves[0]).toMatchObject({ state: 'done', steps: { done: SERVERS } })
		expect(killed.size).toBe(1)
		expect(lowestAvailable).toBeGreaterThanOrEqual(MINIMUM_AVAILABLE)
		const { '200 ran': ran = 0, broken = 0, ...others } = Object.fromEntries(load.outcomeCounts)
		expect(ran).toBeGreaterThan(100)
		expect(broken).toBeLessThanOrEqual(8)
		expect(others).toEqual({})
	} finally {
		load.stop()
		await deployment.stop()
		rmSync(directory, { recursive: true })
	}
}, 120_000)
