import { createFleetPatch, createFleetState, type Fleet, getFleet } from '@mastichead/core'
import { Deployment } from '@mastichead/standins'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { stringify } from 'yaml'
import type { ProcessUsage } from './ProcessUsage.js'
import { readProcessStats } from './readProcessStats.js'
import { startHealthResponder } from './startHealthResponder.js'

const SETTLE_MILLISECONDS = 12_000
const MEASURE_MILLISECONDS = 6000

interface Options {
	readonly fleet: Fleet
	readonly daemons: number
	readonly basePort: number
	readonly serverPort: number
}

/**
 * Runs entry instances without requests and measures the resources that their control plane uses.
 *
 * @returns means per entry instance; `platformBytes` are bytes per second read from the platform
 * @internal
 */
export async function measureIdleDaemons(
	options: Options
): Promise<ProcessUsage & { readonly platformBytes: number }> {
	const { fleet, daemons, basePort, serverPort } = options
	const directory = mkdtempSync(join(tmpdir(), 'mastichead-bench-'))
	const fleetFile = join(directory, 'fleet.yaml')
	writeFileSync(fleetFile, stringify(fleet))
	const responder = await startHealthResponder(serverPort)
	const deployment = new Deployment({ fleetFile, basePort, daemons, pools: [] })
	try {
		await deployment.start()
		await applyFleet(deployment, fleet)
		await publishInstances(deployment, fleet)
		await delay(SETTLE_MILLISECONDS)
		return await measureUsage(deployment)
	} finally {
		await deployment.stop()
		responder.closeAllConnections()
		responder.close()
		rmSync(directory, { recursive: true })
	}
}

async function applyFleet(deployment: Deployment, fleet: Fleet): Promise<void> {
	const patch = createFleetPatch(getFleet(createFleetState()), fleet)
	const proposal = { kind: 'apply', id: 'bench-apply', base: 0, patch, operator: 'bench' }
	await request(`${deployment.platformUrl}/log/append`, {
		method: 'POST',
		body: JSON.stringify({ records: [JSON.stringify(proposal)] }),
	})
}

async function publishInstances(deployment: Deployment, fleet: Fleet): Promise<void> {
	const rows = fleet.backendServers.map(({ name, address, availabilityZone }) => ({
		...{ name, address, availabilityZone },
		...{ kind: 'backend', state: 'live' },
	}))
	await request(`${deployment.platformUrl}/instances`, {
		method: 'PUT',
		body: JSON.stringify(rows),
	})
}

async function measureUsage(
	deployment: Deployment
): Promise<ProcessUsage & { readonly platformBytes: number }> {
	const pids = deployment.instances.map(({ name }) => deployment.processes.getPid(name) ?? 0)
	const before = pids.map(readProcessStats)
	const bytesBefore = await readPlatformBytes(deployment)
	const startedAt = performance.now()
	await delay(MEASURE_MILLISECONDS)
	const seconds = (performance.now() - startedAt) / 1000
	const after = pids.map(readProcessStats)
	const bytes = (await readPlatformBytes(deployment)) - bytesBefore
	const processorSeconds = after.reduce(
		(sum, row, index) => sum + row.processorSeconds - (before[index]?.processorSeconds ?? 0),
		0
	)
	const totalResidentBytes = after.reduce((sum, row) => sum + row.residentBytes, 0)
	return {
		processorPercent: (100 * processorSeconds) / seconds / pids.length,
		residentBytes: totalResidentBytes / pids.length,
		platformBytes: bytes / seconds / pids.length,
	}
}

async function readPlatformBytes(deployment: Deployment): Promise<number> {
	const response = await request(`${deployment.platformUrl}/faults`)
	const { bytes } = (await response.body.json()) as { bytes: number }
	return bytes
}
