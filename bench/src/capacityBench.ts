import { type Fleet, parseFleet } from '@mastichead/core'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import type { CapacityRow } from './capacity/CapacityRow.js'
import { createCapacityRow } from './capacity/createCapacityRow.js'
import { createLargeFleet } from './capacity/createLargeFleet.js'
import { measureDigest } from './capacity/measureDigest.js'
import { measureIdleDaemons } from './capacity/measureIdleDaemons.js'
import { measureSlotOwner } from './capacity/measureSlotOwner.js'

const SERVER_SIZES = [750, 1500, 3000, 6000]
const DAEMON_SIZES = [2, 4, 8, 16]
const TEAM_SIZES = [44, 88, 175, 350]
const TARGET_SERVERS = 6000
const TARGET_DAEMONS = 72
const TARGET_TEAMS = 350
const BASE_PORT = 24_000
const SERVER_PORT = 24_900
const MEBIBYTE = 1_048_576
const KIBIBYTE = 1024

type Point = readonly [number, number]

/**
 * Measures the slopes that docs/CAPACITY.md is worked out from: real entry instances as processes,
 * and the parts that carry the load.
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
			TEAM_SIZES.map((teams): Point => [teams, measureDigest(teams)])
		),
		createCapacityRow(
			{ role: 'entry instance', measure: 'owner of slots, us a request', size: 'teams waiting' },
			TARGET_TEAMS,
			TEAM_SIZES.map((teams): Point => [teams, measureSlotOwner(teams)])
		),
	]
}

async function measureByServers(): Promise<CapacityRow[]> {
	const size = 'backend servers (2 entry instances)'
	return measureSizes(size, SERVER_SIZES, TARGET_SERVERS, (servers) => ({
		fleet: createLargeFleet(servers, SERVER_PORT),
		daemons: 2,
	}))
}

async function measureByDaemons(): Promise<CapacityRow[]> {
	const path = fileURLToPath(new URL('../../examples/padania.yaml', import.meta.url))
	const parsed = parseFleet(readFileSync(path, 'utf8'))
	if (parsed.type === 'invalid') throw new Error(`${path} is not valid`)
	const backendServers = parsed.fleet.backendServers.map((server, index) => ({
		...server,
		address: `127.1.0.${index + 1}:${SERVER_PORT}`,
	}))
	const fleet = { ...parsed.fleet, backendServers }
	const size = 'entry instances (35 backend servers)'
	return measureSizes(size, DAEMON_SIZES, TARGET_DAEMONS, (daemons) => ({ fleet, daemons }))
}

/** Measures entry instances without requests at each size. */
async function measureSizes(
	size: string,
	sizes: readonly number[],
	target: number,
	getOptions: (size: number) => { readonly fleet: Fleet; readonly daemons: number }
): Promise<CapacityRow[]> {
	const processor: Point[] = []
	const memory: Point[] = []
	const platform: Point[] = []
	for (const count of sizes) {
		const use = await measureIdleDaemons({
			...getOptions(count),
			basePort: BASE_PORT,
			serverPort: SERVER_PORT,
		})
		processor.push([count, use.processorPercent])
		memory.push([count, use.residentBytes / MEBIBYTE])
		platform.push([count, use.platformBytes / KIBIBYTE])
	}
	return createRows(size, target, { processor, memory, platform })
}

function createRows(
	size: string,
	target: number,
	points: { processor: Point[]; memory: Point[]; platform: Point[] }
): CapacityRow[] {
	const role = 'entry instance'
	return [
		createCapacityRow({ role, measure: 'processor, % of a core', size }, target, points.processor),
		createCapacityRow({ role, measure: 'resident memory, MiB', size }, target, points.memory),
		createCapacityRow(
			{ role, measure: 'read from the platform, KiB/s', size },
			target,
			points.platform
		),
	]
}
