import { parseFleet } from '@mastichead/core'
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
	const processor: Point[] = []
	const memory: Point[] = []
	const platform: Point[] = []
	for (const servers of SERVER_SIZES) {
		const use = await measureIdleDaemons({
			fleet: createLargeFleet(servers, SERVER_PORT),
			daemons: 2,
			basePort: BASE_PORT,
			serverPort: SERVER_PORT,
		})
		processor.push([servers, use.processorPercent])
		memory.push([servers, use.residentBytes / MEBIBYTE])
		platform.push([servers, use.platformBytes / KIBIBYTE])
	}
	return createRows('backend servers (2 entry instances)', TARGET_SERVERS, {
		processor,
		memory,
		platform,
	})
}

async function measureByDaemons(): Promise<CapacityRow[]> {
	const path = fileURLToPath(new URL('../../examples/padania.yaml', import.meta.url))
	const parsed = parseFleet(readFileSync(path, 'utf8'))
	if (parsed.type === 'invalid') throw new Error(`${path} is not valid`)
	const processor: Point[] = []
	const memory: Point[] = []
	const platform: Point[] = []
	for (const daemons of DAEMON_SIZES) {
		const use = await measureIdleDaemons({
			fleet: {
				...parsed.fleet,
				backendServers: parsed.fleet.backendServers.map((server, index) => ({
					...server,
					address: `127.1.0.${index + 1}:${SERVER_PORT}`,
				})),
			},
			daemons,
			basePort: BASE_PORT,
			serverPort: SERVER_PORT,
		})
		processor.push([daemons, use.processorPercent])
		memory.push([daemons, use.residentBytes / MEBIBYTE])
		platform.push([daemons, use.platformBytes / KIBIBYTE])
	}
	return createRows('entry instances (35 backend servers)', TARGET_DAEMONS, {
		processor,
		memory,
		platform,
	})
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
