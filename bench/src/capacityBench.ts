import { type Fleet, parseFleet } from '@mastichead/core'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import type { CapacityRow } from './capacity/CapacityRow.js'
import { createCapacityRow } from './capacity/createCapacityRow.js'
import { createLargeFleet } from './capacity/createLargeFleet.js'
import { measureDigestBytes } from './capacity/measureDigestBytes.js'
import { measureIdleDaemons } from './capacity/measureIdleDaemons.js'
import { measureSlotOwnerMicroseconds } from './capacity/measureSlotOwnerMicroseconds.js'

const SERVER_COUNTS = [750, 1500, 3000, 6000]
const DAEMON_COUNTS = [2, 4, 8, 16]
const TEAM_COUNTS = [44, 88, 175, 350]
const TARGET_SERVERS = 6000
const TARGET_DAEMONS = 72
const TARGET_TEAMS = 350
const BASE_PORT = 24_000
const SERVER_PORT = 24_900
const MEBIBYTE = 1_048_576
const KIBIBYTE = 1024

type Point = readonly [number, number]

/**
 * Measures the slopes behind docs/CAPACITY.md: the resources of idle entry instances as real
 * processes, the size of a digest and the processor time of a slot owner.
 *
 * @public
 */
export async function capacityBench(): Promise<CapacityRow[]> {
	return [
		...(await measureByServers()),
		...(await measureByDaemons()),
		createCapacityRow(
			{ role: 'entry instance', measure: 'digest, bytes', size: 'teams named' },
			TARGET_TEAMS,
			TEAM_COUNTS.map((teams): Point => [teams, measureDigestBytes(teams)])
		),
		createCapacityRow(
			{ role: 'entry instance', measure: 'owner of slots, us a request', size: 'teams waiting' },
			TARGET_TEAMS,
			TEAM_COUNTS.map((teams): Point => [teams, measureSlotOwnerMicroseconds(teams)])
		),
	]
}

async function measureByServers(): Promise<CapacityRow[]> {
	const sizeLabel = 'backend servers (2 entry instances)'
	return measureSizes(sizeLabel, SERVER_COUNTS, TARGET_SERVERS, (servers) => ({
		fleet: createLargeFleet(servers, SERVER_PORT),
		daemons: 2,
	}))
}

async function measureByDaemons(): Promise<CapacityRow[]> {
	const path = fileURLToPath(new URL('../../examples/padania.yaml', import.meta.url))
	const parsed = parseFleet(readFileSync(path, 'utf8'))
	if (parsed.type === 'invalid') throw new Error(`${path} is not a valid fleet document`)
	const backendServers = parsed.fleet.backendServers.map((server, index) => ({
		...server,
		address: `127.1.0.${index + 1}:${SERVER_PORT}`,
	}))
	const fleet = { ...parsed.fleet, backendServers }
	const sizeLabel = 'entry instances (35 backend servers)'
	return measureSizes(sizeLabel, DAEMON_COUNTS, TARGET_DAEMONS, (daemons) => ({ fleet, daemons }))
}

/** Measures idle entry instances at each size. */
async function measureSizes(
	sizeLabel: string,
	sizes: readonly number[],
	targetSize: number,
	getOptions: (size: number) => { readonly fleet: Fleet; readonly daemons: number }
): Promise<CapacityRow[]> {
	const processor: Point[] = []
	const memory: Point[] = []
	const platform: Point[] = []
	for (const count of sizes) {
		const usage = await measureIdleDaemons({
			...getOptions(count),
			basePort: BASE_PORT,
			serverPort: SERVER_PORT,
		})
		processor.push([count, usage.processorPercent])
		memory.push([count, usage.residentBytes / MEBIBYTE])
		platform.push([count, usage.platformBytes / KIBIBYTE])
	}
	return createRows(sizeLabel, targetSize, { processor, memory, platform })
}

function createRows(
	sizeLabel: string,
	targetSize: number,
	points: { processor: Point[]; memory: Point[]; platform: Point[] }
): CapacityRow[] {
	const role = 'entry instance'
	return [
		createCapacityRow(
			{ role, measure: 'processor, % of a core', size: sizeLabel },
			targetSize,
			points.processor
		),
		createCapacityRow(
			{ role, measure: 'resident memory, MiB', size: sizeLabel },
			targetSize,
			points.memory
		),
		createCapacityRow(
			{ role, measure: 'read from the platform, KiB/s', size: sizeLabel },
			targetSize,
			points.platform
		),
	]
}
